import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import {
  findRunFailures,
  KnownFailuresError,
  parseKnownFailures,
  type TestResult,
} from '../known-failures.ts';

const line = (name: string): string => `${name} | a cause | issue 1`;
const passed = (name: string): TestResult => ({ name, outcome: 'passed' });
const failed = (name: string): TestResult => ({ name, outcome: 'failed' });
const subtestsFailed = (name: string): TestResult => ({ name, outcome: 'subtestsFailed' });

describe('known failures', () => {
  it('are read one a line; a malformed, repeated or surplus line is rejected', () => {
    assert.deepEqual(parseKnownFailures(`${line('a b')}\n\n`), [
      { test: 'a b', cause: 'a cause', issue: 'issue 1' },
    ]);
    assert.deepEqual(parseKnownFailures(''), []);
    for (const bad of ['a', 'a | b', 'a | b | ', ' | b | c', 'a | b | c | d', `${line('a')}\n${line('a')}`])
      assert.throws(() => parseKnownFailures(bad), KnownFailuresError, bad);
    assert.equal(parseKnownFailures(['a', 'b', 'c'].map(line).join('\n')).length, 3);
    assert.throws(() => parseKnownFailures(['a', 'b', 'c', 'd'].map(line).join('\n')), /at most 3/);
  });

  it('are excused by their exact name, as long as they fail', () => {
    const known = parseKnownFailures(line('red'));
    const red = failed('red');
    assert.deepEqual(findRunFailures(known, [red, subtestsFailed('its suite'), passed('green')]), []);
    assert.deepEqual(findRunFailures([], [passed('green')]), []);
    assert.deepEqual(findRunFailures(known, [red, failed('red too')]), ['failed: red too']);
    assert.deepEqual(findRunFailures([], [red]), ['failed: red']);
    assert.match(findRunFailures(known, [passed('red')]).join(), /passes again/);
    assert.match(findRunFailures(known, [passed('green')]).join(), /no test has the name/);
    assert.match(findRunFailures(known, [red, red]).join(), /several tests/);
    assert.match(findRunFailures(known, [subtestsFailed('red')]).join(), /not a test of its own/);
    assert.match(findRunFailures([], []).join(), /no test was run/);
  });

  it('decide the exit code of the test command, and are printed', () => {
    const folder = mkdtempSync(join(tmpdir(), 'known-red-'));
    try {
      const file = join(folder, 'some.test.mjs');
      const body = `import { it } from 'node:test';
        it('red', () => { throw new Error('a fault'); });
        it('green', () => {});`;
      writeFileSync(file, body);
      const runTests = (list: string | null): { status: number | null; output: string } => {
        if (list !== null) writeFileSync(join(folder, 'KNOWN-RED.txt'), list);
        const script = fileURLToPath(new URL('../run-tests.ts', import.meta.url));
        const tsx = import.meta.resolve('tsx');
        // A runner within a runner would report to the outer one.
        const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
        const args = ['--import', tsx, script, file];
        const { status, stdout, stderr } = spawnSync(process.execPath, args, {
          cwd: folder,
          env,
          encoding: 'utf8',
        });
        return { status, output: stdout + stderr };
      };
      const unlisted = runTests(null);
      assert.equal(unlisted.status, 1, unlisted.output);
      const excused = runTests(line('red'));
      assert.equal(excused.status, 0, excused.output);
      assert.match(excused.output, /known red: red \| a cause \| issue 1/);
      assert.equal(runTests(line('green')).status, 1);
      assert.equal(runTests(`${line('red')}\n${line('gone')}`).status, 1);
      assert.equal(runTests('red').status, 2);
    } finally {
      rmSync(folder, { recursive: true });
    }
  });
});
