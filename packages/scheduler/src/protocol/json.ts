/** JSON whose integers stay exact: versions, revisions and attempt numbers may be above 2^53. */
import { parse as parseLossless, stringify as stringifyLossless } from 'lossless-json';

/**
 * An integer from JSON, exact up to 2^64: a number if a double holds it exactly, otherwise a bigint. Values
 * of the two types can be compared with `<` and `===`, since a given value always has the same type.
 * Arithmetic needs a conversion.
 */
export type ExactInteger = number | bigint;

/** The value less `amount`, at least 0; of the type that the result has when it is read from JSON. */
export function subtractFrom(value: ExactInteger, amount: number): ExactInteger {
  const exact = BigInt(value) - BigInt(amount);
  if (exact < 0n) return 0;
  return exact <= Number.MAX_SAFE_INTEGER ? Number(exact) : exact;
}

/** The value of a number literal in JSON. */
function exactNumber(text: string): ExactInteger {
  const value = Number(text);
  return /^-?\d+$/.test(text) && !Number.isSafeInteger(value) ? BigInt(text) : value;
}

/**
 * Parses JSON; an integer that a double cannot hold becomes a bigint. Throws a `SyntaxError` for malformed
 * JSON. The slower exact parser is used only if the text has a run of digits long enough to need it.
 */
export function parseJson(text: string): unknown {
  return /\d{16}/.test(text) ? parseLossless(text, undefined, exactNumber) : (JSON.parse(text) as unknown);
}

/**
 * Writes JSON, with bigints as plain integers. The slower exact writer is used only if `JSON.stringify` fails
 * because of a bigint.
 */
export function stringifyJson(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch (error) {
    if (!(error instanceof TypeError)) throw error;
    return stringifyLossless(value) ?? 'null'; // a bigint somewhere inside
  }
}
