import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { readKnownRed, type TestEnd, verdict } from '../known-red.ts';

const line = (name: string): string => `${name} | a cause | issue 1`;
const ended = (name: string, passed: boolean, inner = false): TestEnd => ({ name, passed, inner });

describe('tests known to be red', () => {
  it('are read one a line, and refused where a line is bad or one too many', () => {
    assert.deepEqual(readKnownRed(`${line('a b')}\n\n`), [
      { test: 'a b', cause: 'a cause', issue: 'issue 1' },
    ]);
    assert.deepEqual(readKnownRed(''), []);
    for (const bad of ['a', 'a | b', 'a | b | ', ' | b | c', 'a | b | c | d', `${line('a')}\n${line('a')}`])
      assert.throws(() => readKnownRed(bad), Error, bad);
    assert.equal(readKnownRed(['a', 'b', 'c'].map(line).join('\n')).length, 3);
    assert.throws(() => readKnownRed(['a', 'b', 'c', 'd'].map(line).join('\n')), /at most 3/);
  });

  it('are passed over by their exact name, while they fail', () => {
    const known = readKnownRed(line('red'));
    const red = ended('red', false);
    assert.deepEqual(verdict(known, [red, ended('its suite', false, true), ended('green', true)]), []);
    assert.deepEqual(verdict([], [ended('green', true)]), []);
    assert.deepEqual(verdict(known, [red, ended('red too', false)]), ['failed: red too']);
    assert.deepEqual(verdict([], [red]), ['failed: red']);
    assert.match(verdict(known, [ended('red', true)]).join(), /passes again/);
    assert.match(verdict(known, [ended('green', true)]).join(), /no test has the name/);
    assert.match(verdict(known, [red, red]).join(), /several tests/);
    assert.match(verdict(known, [ended('red', false, true)]).join(), /not a test of its own/);
    assert.match(verdict([], []).join(), /no test was run/);
  });

  it('decide the exit code of a run, and are printed', () => {
    const folder = mkdtempSync(join(tmpdir(), 'known-red-'));
    try {
      const file = join(folder, 'some.test.mjs');
      const body = `import { it } from 'node:test';
        it('red', () => { throw new Error('a fault'); });
        it('green', () => {});`;
      writeFileSync(file, body);
      const play = (list: string | null): { status: number | null; output: string } => {
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
      const none = play(null);
      assert.equal(none.status, 1, none.output);
      const passed = play(line('red'));
      assert.equal(passed.status, 0, passed.output);
      assert.match(passed.output, /known red: red \| a cause \| issue 1/);
      assert.equal(play(line('green')).status, 1);
      assert.equal(play(`${line('red')}\n${line('gone')}`).status, 1);
      assert.equal(play('red').status, 2);
    } finally {
      rmSync(folder, { recursive: true });
    }
  });
});
