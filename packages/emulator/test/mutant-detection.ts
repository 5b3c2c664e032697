/** Builds the emulator with a mutated scheduler, and runs it until a violated invariant detects the mutant. */
import { build, type Plugin } from 'esbuild';
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { Worker } from 'node:worker_threads';

import type { Mutant } from './mutants.ts';

const root = fileURLToPath(new URL('../../..', import.meta.url));

/** Bundles the emulator with the mutated scheduler. Throws unless the source has the piece exactly once. */
async function buildMutant(mutant: Mutant): Promise<string> {
  let replaced = 0;
  const plugin: Plugin = {
    name: 'mutant',
    setup: (setup) => {
      setup.onLoad({ filter: /scheduler\/src\/.*\.ts$/ }, async ({ path }) => {
        const source = await readFile(path, 'utf8');
        if (!path.endsWith(mutant.file)) return { contents: source, loader: 'ts' };
        const pieces = source.split(mutant.find);
        replaced += pieces.length - 1;
        return { contents: pieces.join(mutant.put), loader: 'ts' };
      });
    },
  };
  const outfile = `${root}/target/mutants/${mutant.name.replaceAll(/\W+/g, '-')}.cjs`;
  await build({
    entryPoints: [
      `${root}/packages/emulator/${'size' in mutant.detectedBy ? 'src/randomized-testing.ts' : 'test/leader-fault-scenarios.ts'}`,
    ],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    outfile,
    plugins: [plugin],
  });
  if (replaced !== 1)
    throw new Error(
      `${mutant.name}: expected its piece once, found it ${String(replaced)} times in ${mutant.file}`,
    );
  return outfile;
}

/** Runs in a worker thread, so that mutants run in parallel. */
const detectionScript = `
const { parentPort, workerData } = require('node:worker_threads');
const { runSeededScenario, scenarioSeed, scenarios } = require(workerData.outfile);
(async () => {
  if (workerData.scenario) {
    const [violation] = await scenarios[workerData.scenario]();
    return parentPort.postMessage(violation ? { rule: violation.rule, runs: 1 } : null);
  }
  for (let number = 0; number < workerData.maxRuns; number++) {
    const { outcome } = await runSeededScenario(workerData.size, scenarioSeed(1, number));
    // A 'stuck' violation alone does not count, as it may only mean slow progress.
    const violation = outcome.violations.find((v) => v.rule !== 'stuck');
    if (violation) return parentPort.postMessage({ rule: violation.rule, runs: number + 1 });
  }
  parentPort.postMessage(null);
})();`;

/** The violated invariant and the number of runs until then, or null if there was none within `maxRuns`. */
export async function detect(
  mutant: Mutant,
  maxRuns: number,
): Promise<{ rule: string; runs: number } | null> {
  const outfile = await buildMutant(mutant);
  const worker = new Worker(detectionScript, {
    eval: true,
    workerData: { outfile, ...mutant.detectedBy, maxRuns },
  });
  try {
    return await new Promise((resolve, reject) => {
      worker.once('message', resolve);
      worker.once('error', reject);
    });
  } finally {
    await worker.terminate();
  }
}
