import { parse as parseLossless, stringify as stringifyLossless } from 'lossless-json';

/** A count, version or token: below 2^64, so a bigint where a number could not hold it exactly. */
export type Int = number | bigint;

function exactNumber(text: string): Int {
  const value = Number(text);
  return /^-?\d+$/.test(text) && !Number.isSafeInteger(value) ? BigInt(text) : value;
}

/** Parses JSON; whole numbers that a double cannot hold come back as bigint. Throws on bad JSON. */
export function parseJson(text: string): unknown {
  return /\d{16}/.test(text) ? parseLossless(text, undefined, exactNumber) : (JSON.parse(text) as unknown);
}

export function stringifyJson(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch (error) {
    if (!(error instanceof TypeError)) throw error;
    return stringifyLossless(value) ?? 'null'; // a bigint somewhere inside
  }
}
