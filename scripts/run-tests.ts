/**
 * The test command: runs the test files given on the command line, excuses the failures on the list of known
 * failures, and prints the list. Exit codes: 0 if the run passed, 1 if it failed, 2 if the list is not valid
 * and no test was run.
 */
import { existsSync, readFileSync } from 'node:fs';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import {
  findRunFailures,
  formatKnownFailure,
  type KnownFailure,
  parseKnownFailures,
  type TestResult,
} from './known-failures.ts';

/**
 * Milliseconds after which a test file is terminated, so that a hanging test does not block the run. The test
 * of the mutants (`mutants.test.ts`) takes about five minutes on a busy machine.
 */
const FILE_TIMEOUT_MS = 900_000;

/** The list of known failures, relative to the working directory. */
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';

const EXIT_PASSED = 0;
const EXIT_FAILED = 1;
const EXIT_INVALID_LIST = 2;

/** Runs the test files and sets the exit code. */
function main(files: string[]): void {
  let known: KnownFailure[];
  try {
    known = readKnownFailures();
  } catch (error) {
    console.error(`${KNOWN_FAILURES_FILE}: ${error instanceof Error ? error.message : String(error)}`);
    process.exitCode = EXIT_INVALID_LIST;
    return;
  }
  runFiles(files, (results) => {
    process.exitCode = reportResults(known, results);
  });
}

/** Reads the list of known failures. It is empty if there is no file. */
function readKnownFailures(): KnownFailure[] {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  return parseKnownFailures(readFileSync(KNOWN_FAILURES_FILE, 'utf8'));
}

/** Runs each file in its own process, reports to standard output, and passes all results to `onEnd`. */
function runFiles(files: string[], onEnd: (results: readonly TestResult[]) => void): void {
  const results: TestResult[] = [];
  const events = run({ files, concurrency: true, timeout: FILE_TIMEOUT_MS });
  events.on('test:pass', ({ name }) => results.push({ name, outcome: 'passed' }));
  events.on('test:fail', ({ name, details }) => {
    results.push({ name, outcome: isSubtestFailure(details.error) ? 'subtestsFailed' : 'failed' });
  });
  events.on('end', () => onEnd(results));
  const report = events.compose(new spec()) as NodeJS.ReadableStream;
  report.pipe(process.stdout);
}

/** Whether a test failed only because its subtests failed, according to the failure type of node:test. */
function isSubtestFailure(error: unknown): boolean {
  return error instanceof Error && 'failureType' in error && error.failureType === 'subtestsFailed';
}

/** Prints the known failures, then the reasons why the run fails. Returns the exit code. */
function reportResults(known: readonly KnownFailure[], results: readonly TestResult[]): number {
  const failures = findRunFailures(known, results);
  for (const failure of known) console.log(`known red: ${formatKnownFailure(failure)}`);
  for (const failure of failures) console.error(failure);
  return failures.length > 0 ? EXIT_FAILED : EXIT_PASSED;
}

main(process.argv.slice(2));
