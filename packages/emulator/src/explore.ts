/**
 * The command of randomized simulation testing (`npm run explore`, docs/emulator.md): generates scenarios by
 * seed, runs them in parallel, shrinks those that break a rule, and prints a digest of all runs. A "day" is
 * one scenario and its simulated run.
 */
import { Command, InvalidArgumentError } from 'commander';
import { availableParallelism } from 'node:os';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { SHRINK_MS, SHRUNK_MAX, SERVED_SHARE_MIN_JOBS } from './constants.ts';
import type { Scenario } from './scenario.ts';
import { readScenario } from './scenario-file.ts';
import {
  scenarioSeed,
  type SeededRun,
  runSeededScenario,
  runDigest,
  shrinkScenario,
  type SizeName,
} from './randomized-testing.ts';
import { runScenario } from './simulated-run.ts';
import { scenarioSizes } from './scenario-sizes.ts';

/** Exit code for invalid options. */
const EXIT_BAD_INPUT = 2;
/** Exit code if a rule was broken. */
const EXIT_RULE_BROKEN = 1;

/** A scenario for a thread to run. */
interface ScenarioTask {
  readonly size: SizeName;
  readonly seed: number;
}

/** A run that a thread has finished. */
interface FinishedRun {
  /** The number of the run, from 0. */
  readonly number: number;
  readonly seededRun: SeededRun;
}

/** Parses an option that is a whole number of at least `least`. */
function integerFrom(least: number): (text: string) => number {
  return (text) => {
    const value = Number(text);
    if (!/^\d+$/.test(text) || value < least || !Number.isSafeInteger(value))
      throw new InvalidArgumentError(`expected a whole number of at least ${String(least)}.`);
    return value;
  };
}

function parseSizeName(text: string): SizeName {
  if (Object.hasOwn(scenarioSizes, text)) return text as SizeName;
  throw new InvalidArgumentError(`expected one of ${Object.keys(scenarioSizes).join(', ')}.`);
}

function parseScenario(text: string): Scenario {
  try {
    return readScenario(text);
  } catch (error) {
    const [line] = String(error instanceof Error ? error.message : error).split('\n');
    throw new InvalidArgumentError(line ?? 'unreadable');
  }
}

/** Prints a line. */
const printLine = (text: string): void => void process.stdout.write(`${text}\n`);

/** Prints the violations of a run, and the command that repeats it. */
function printFailure(seededRun: SeededRun): void {
  const { scenario, outcome } = seededRun;
  for (const v of outcome.violations) printLine(`  ${v.rule} at ${v.atS.toFixed(3)} s: ${v.detail}`);
  printLine(`  npm run explore -- --day '${JSON.stringify(scenario)}'`);
}

/**
 * Runs `count` scenarios; each thread takes the next one when it is free. Returns the runs in order of their
 * number.
 */
function runAll(seed: number, count: number, size: SizeName, threads: number): Promise<FinishedRun[]> {
  const finished: FinishedRun[] = [];
  let next = 0;
  return new Promise((resolve, reject) => {
    let openThreads = Math.min(threads, count);
    for (let left = openThreads; left > 0; left--) {
      const worker = new Worker(process.argv[1] ?? '', { workerData: 'days' });
      let number = -1;
      const assignNext = (): void => {
        if (next >= count) {
          void worker.terminate();
          if (--openThreads === 0) resolve(finished.sort((a, b) => a.number - b.number));
          return;
        }
        number = next++;
        worker.postMessage({ size, seed: scenarioSeed(seed, number) } satisfies ScenarioTask);
      };
      worker.on('message', (seededRun: SeededRun) => {
        finished.push({ number, seededRun });
        if (finished.length % 500 === 0)
          process.stderr.write(`${String(finished.length)} of ${String(count)} days\n`);
        assignNext();
      });
      worker.on('error', (error) => reject(new Error(`day ${String(number)}: ${String(error)}`)));
      assignNext();
    }
  });
}

/** Runs the command. Returns its exit code. */
async function runCommand(options: {
  seed: number;
  days: number;
  size: SizeName;
  threads: number;
  day?: Scenario;
}): Promise<number> {
  if (options.day) {
    const outcome = await runScenario(options.day);
    for (const v of outcome.violations) printLine(`${v.rule} at ${v.atS.toFixed(3)} s: ${v.detail}`);
    printLine(
      `${String(outcome.started)} tasks started, ${String(outcome.completed)} completed, in ${outcome.virtualS.toFixed(0)} virtual seconds`,
    );
    printLine(outcome.digest);
    return outcome.violations.length > 0 ? EXIT_RULE_BROKEN : 0;
  }
  const began = performance.now();
  const finished = await runAll(options.seed, options.days, options.size, options.threads);
  const sum = (of: (e: SeededRun) => number): number => finished.reduce((n, f) => n + of(f.seededRun), 0);
  const failed = finished.filter((f) => f.seededRun.outcome.violations.length > 0);
  const virtualS = sum((e) => e.outcome.virtualS);
  const seconds = (performance.now() - began) / 1000;
  printLine(
    `${String(finished.length)} days, ${String(sum((e) => e.scenario.faults.length))} faults, ${String(sum((e) => e.outcome.started))} tasks started, ` +
      `${(virtualS / 3600).toFixed(1)} virtual hours, ${(virtualS / seconds).toFixed(0)} virtual seconds a second`,
  );
  const shares = finished.flatMap(({ seededRun: { outcome } }) =>
    [...Object.values(outcome.served.classes), ...Object.values(outcome.served.teams)]
      .filter(({ asked }) => asked >= SERVED_SHARE_MIN_JOBS)
      .map((s) => s.served / s.asked),
  );
  printLine(`lowest served share of a class or team on a day: ${Math.min(1, ...shares).toFixed(2)}`);
  printLine(`${String(sum((e) => e.outcome.startsAfterCancelled))} starts after a confirmed cancellation`);
  const lost = sum((e) => Object.values(e.outcome.unrecoverable).reduce((n, each) => n + each, 0));
  if (lost > 0) printLine(`${String(lost)} facts unrecoverable after losses of data`);
  printLine(`${String(failed.length)} days broke a rule`);
  for (const [i, { number, seededRun }] of failed.entries()) {
    const rule = seededRun.outcome.violations[0]?.rule ?? '';
    printLine(`day ${String(number)}: ${rule}`);
    const smaller =
      i < SHRUNK_MAX
        ? await shrinkScenario(options.size, scenarioSeed(options.seed, number), rule, SHRINK_MS)
        : null;
    printFailure(smaller ?? seededRun);
  }
  printLine(runDigest(finished.map((f) => f.seededRun.outcome.digest)));
  return failed.length > 0 ? EXIT_RULE_BROKEN : 0;
}

async function main(): Promise<void> {
  const command = new Command('explore')
    .description('Runs days (simulated runs) generated by seed and checks every event against the rules.')
    .option('--seed <n>', 'the seed from which the days are generated', integerFrom(0), 1)
    .option('--days <n>', 'how many days', integerFrom(1), 20)
    .option('--size <name>', Object.keys(scenarioSizes).join(', '), parseSizeName, 'small' as SizeName)
    .option('--threads <n>', 'days run in parallel', integerFrom(1), availableParallelism())
    .option('--day <json>', 'run only this day, given as the JSON that explore printed', parseScenario)
    .allowExcessArguments(false)
    .showSuggestionAfterError(false)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_INPUT))
    .parse();
  process.exitCode = await runCommand(command.opts());
}

if (isMainThread) void main();
else if (workerData === 'days') {
  parentPort?.on('message', (task: ScenarioTask) => {
    void runSeededScenario(task.size, task.seed).then((seededRun) => parentPort?.postMessage(seededRun));
  });
}
