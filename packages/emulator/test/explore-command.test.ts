import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

const command = fileURLToPath(new URL('../src/explore.ts', import.meta.url));

/** Runs the command and returns its output and exit code. */
function run(...args: string[]): Promise<{ code: number; out: string; err: string }> {
  return new Promise((resolve) => {
    execFile(process.execPath, ['--import', 'tsx', command, ...args], (error, out, err) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, out, err });
    });
  });
}

describe('the explore command', { concurrency: true }, () => {
  for (const [what, args, says] of [
    ['an option that is not a number', ['--seed', 'x'], /--seed/],
    ['zero scenarios', ['--days', '0'], /--days/],
    ['an unknown size', ['--size', 'huge'], /--size.*small/],
    ['an unknown option', ['--sede', '1'], /--sede/],
    ['an argument without an option', ['7'], /too many arguments/],
    ['a scenario that is not JSON', ['--day', '{'], /not JSON/],
    ['a scenario without a seed', ['--day', '{}'], /seed/],
  ] as [string, string[], RegExp][]) {
    it(`rejects ${what} with one line on standard error and exit code 2`, async () => {
      const { code, out, err } = await run(...args);
      assert.deepEqual([code, out, err.trim().split('\n').length], [2, '', 1]);
      assert.match(err, says);
    });
  }
});
