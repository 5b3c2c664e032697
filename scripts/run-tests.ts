import { existsSync, readFileSync } from 'node:fs';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { type KnownRed, readKnownRed, type TestEnd, verdict } from './known-red.ts';

/** Milliseconds that a test file may take: the mutants take some five minutes where the machine is busy; a hang ends all the same. */
const FILE_MS = 900_000;
const LIST = 'KNOWN-RED.txt';

/** Runs the test files named on the command line; passes over the failures that are listed as known, and prints them. */
function main(files: string[]): void {
  let known: KnownRed[];
  try {
    known = existsSync(LIST) ? readKnownRed(readFileSync(LIST, 'utf8')) : [];
  } catch (error) {
    console.error(`${LIST}: ${error instanceof Error ? error.message : String(error)}`);
    process.exitCode = 2;
    return;
  }
  const ends: TestEnd[] = [];
  const note = (name: string, error: unknown): void => {
    const type = (error as { failureType?: string } | undefined)?.failureType;
    ends.push({ name, passed: error === undefined, inner: type === 'subtestsFailed' });
  };
  const events = run({ files, concurrency: true, timeout: FILE_MS });
  events.on('test:pass', ({ name }) => note(name, undefined));
  events.on('test:fail', ({ name, details }) => note(name, details.error));
  events.on('end', () => {
    const wrong = verdict(known, ends);
    for (const { test, cause, issue } of known) console.log(`known red: ${test} | ${cause} | ${issue}`);
    for (const line of wrong) console.error(line);
    process.exitCode = wrong.length > 0 ? 1 : 0;
  });
  const report = events.compose(new spec()) as NodeJS.ReadableStream;
  report.pipe(process.stdout);
}

main(process.argv.slice(2));
