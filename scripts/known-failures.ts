/**
 * The list of known failures: tests that may fail for now, each for a real fault that is known and has an issue. The list
 * is the file `KNOWN-RED.txt` at the repository's root; here is its format, and what it excuses.
 */

/** Entries that the list may have: a longer one would collect faults that nobody mends. */
export const MAX_KNOWN_FAILURES = 3;

/** A test that may fail for now. */
export interface KnownFailure {
  /** The test's exact name, without its suite's. */
  readonly test: string;
  /** The fault that makes it fail. */
  readonly cause: string;
  /** Where the fault is tracked. */
  readonly issue: string;
}

/** How a test or a suite of tests ended. */
export interface TestResult {
  /** The name of the test, without its suite's. */
  readonly name: string;
  /**
   * `subtestsFailed`: it failed only because tests within it did. Their own results say which, so that this one is no
   * failure by itself.
   */
  readonly outcome: 'passed' | 'failed' | 'subtestsFailed';
}

/** Identifies what is wrong with the list. */
export type KnownFailuresErrorCode = 'TOO_MANY_ENTRIES' | 'MALFORMED_ENTRY' | 'DUPLICATE_TEST';

/** The list of known failures is not valid. The message is one line. */
export class KnownFailuresError extends Error {
  override readonly name = 'KnownFailuresError';

  constructor(
    /** What is wrong with the list. */
    readonly code: KnownFailuresErrorCode,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Reads the list from its file's text, an entry a line: `test name | cause | issue`. Empty lines are passed over. Throws
 * `KnownFailuresError` if a line is not of that form, a test is named twice, or there are too many entries.
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MAX_KNOWN_FAILURES) {
    const message = `${String(lines.length)} lines; at most ${String(MAX_KNOWN_FAILURES)} are allowed`;
    throw new KnownFailuresError('TOO_MANY_ENTRIES', message);
  }
  const entries = lines.map(parseEntry);
  const names = new Set<string>();
  for (const { test } of entries) {
    if (names.has(test)) throw new KnownFailuresError('DUPLICATE_TEST', `named twice: ${test}`);
    names.add(test);
  }
  return entries;
}

function parseEntry(line: string): KnownFailure {
  const [test = '', cause = '', issue = '', ...surplus] = line.split('|').map((field) => field.trim());
  if (test === '' || cause === '' || issue === '' || surplus.length > 0) {
    const message = `not of the form "test name | cause | issue": ${line}`;
    throw new KnownFailuresError('MALFORMED_ENTRY', message);
  }
  return { test, cause, issue };
}

/**
 * Why a run of tests fails, a line for each reason; none if it passes. A failure is excused only for a test of exactly a
 * listed name, and an entry is valid only as long as there is one test of its name, which fails.
 */
export function findRunFailures(known: readonly KnownFailure[], results: readonly TestResult[]): string[] {
  const empty = results.length === 0 ? ['no test was run'] : [];
  const listed = new Set(known.map(({ test }) => test));
  const unexpected = results
    .filter(({ name, outcome }) => outcome === 'failed' && !listed.has(name))
    .map(({ name }) => `failed: ${name}`);
  const invalid = [...listed]
    .map((test) => findInvalidEntry(test, results))
    .filter((reason) => reason !== null);
  return [...empty, ...unexpected, ...invalid];
}

/** Why a listed test must not be listed, or null if it may. */
function findInvalidEntry(test: string, results: readonly TestResult[]): string | null {
  const [result, ...others] = results.filter(({ name }) => name === test);
  if (result === undefined) return `listed, and no test has the name: ${test}`;
  if (others.length > 0) return `listed, and several tests have the name: ${test}`;
  if (result.outcome === 'passed') return `listed, and passes again: ${test}`;
  if (result.outcome === 'subtestsFailed') return `listed, and is not a test of its own: ${test}`;
  return null;
}
