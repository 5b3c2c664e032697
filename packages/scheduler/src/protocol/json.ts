/** JSON whose integers stay exact: versions, revisions and attempt numbers may be above 2^53. */
import { parse as parseLossless, stringify as stringifyLossless } from 'lossless-json';

/**
 * An integer from JSON, exact up to 2^64: a number while a double holds it exactly, above that a bigint. The
 * two compare with `<` and `===` as they are, since one value always comes as the same type; arithmetic needs
 * a conversion.
 */
export type ExactInteger = number | bigint;

/** The number that a text in JSON stands for. */
function exactNumber(text: string): ExactInteger {
  const value = Number(text);
  return /^-?\d+$/.test(text) && !Number.isSafeInteger(value) ? BigInt(text) : value;
}

/**
 * Parses JSON; integers that a double cannot hold come back as bigint. Throws a `SyntaxError` for malformed
 * JSON. The slower exact parser is used only where the text has a run of digits long enough to need it.
 */
export function parseJson(text: string): unknown {
  return /\d{16}/.test(text) ? parseLossless(text, undefined, exactNumber) : (JSON.parse(text) as unknown);
}

/**
 * Writes JSON, bigints as plain integers. The slower exact writer is used only after the usual one met a
 * bigint.
 */
export function stringifyJson(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch (error) {
    if (!(error instanceof TypeError)) throw error;
    return stringifyLossless(value) ?? 'null'; // a bigint somewhere inside
  }
}
