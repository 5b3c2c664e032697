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

const testEntry = (name: string): string => `${name} | npm test, seed 1 | a fault | issue 1`;
const commandEntry = (command: string): string => `- | ${command} | a fault | issue 1`;
const passed = (name: string): TestResult => ({ name, outcome: 'passed' });
const failed = (name: string): TestResult => ({ name, outcome: 'failed' });
const subtestsFailed = (name: string): TestResult => ({ name, outcome: 'subtestsFailed' });

describe('known failures', () => {
  it('are parsed one per line; a malformed line, a repeated entry and surplus fields are rejected', () => {
    assert.deepEqual(parseKnownFailures(`${testEntry('a b')}\n\n`), [
      { test: 'a b', command: 'npm test, seed 1', observation: 'a fault', issue: 'issue 1' },
    ]);
    assert.deepEqual(parseKnownFailures(''), []);
    const malformed = [
      'a',
      'a | b',
      'a | b | c',
      'a | b | c | ',
      'a | b |  | d',
      'a |  | c | d',
      ' | b | c | d',
      '- | b | c',
      '- |  | c | d',
      'a | b | c | d | e',
      '- | b | c | d | e',
    ];
    for (const bad of malformed)
      assert.throws(
        () => parseKnownFailures(bad),
        { name: 'KnownFailuresError', code: 'MALFORMED_ENTRY' },
        bad,
      );
    assert.throws(() => parseKnownFailures(`${testEntry('a')}\n${testEntry('a')}`), KnownFailuresError);
    const repeated = 'a | b | c | d\na | another command | e | f';
    assert.throws(() => parseKnownFailures(repeated), {
      code: 'DUPLICATE_TEST',
      message: 'duplicate entry: a',
    });
  });

  it('are not limited in number', () => {
    const names = Array.from({ length: 40 }, (_, n) => `test ${String(n)}`);
    assert.deepEqual(
      parseKnownFailures(names.map(testEntry).join('\n')).map(({ test }) => test),
      names,
    );
  });

  it('may contain a command outside the tests once, and it is not compared with the results', () => {
    const known = parseKnownFailures(
      [testEntry('red'), commandEntry('run a'), commandEntry('run b')].join('\n'),
    );
    assert.deepEqual(known.slice(1), [
      { test: null, command: 'run a', observation: 'a fault', issue: 'issue 1' },
      { test: null, command: 'run b', observation: 'a fault', issue: 'issue 1' },
    ]);
    assert.deepEqual(findRunFailures(known, [failed('red'), passed('green')]), []);
    assert.deepEqual(findRunFailures(known, [failed('red'), failed('-'), failed('run a')]), [
      'failed: -',
      'failed: run a',
    ]);
    const repeated = `${commandEntry('run a')}\n- | run a | another fault | issue 2`;
    const error = {
      name: 'KnownFailuresError',
      code: 'DUPLICATE_COMMAND',
      message: 'duplicate entry: run a',
    };
    assert.throws(() => parseKnownFailures(repeated), error);
    const sameCommand = parseKnownFailures(
      `${testEntry('a')}\n${testEntry('b')}\n${commandEntry('npm test, seed 1')}`,
    );
    assert.equal(sameCommand.length, 3, 'an entry with a test is identified by the test, not by its command');
  });

  it('are excused by their exact name, and only while they fail', () => {
    const known = parseKnownFailures(testEntry('red'));
    const red = failed('red');
    assert.deepEqual(findRunFailures(known, [red, subtestsFailed('its suite'), passed('green')]), []);
    assert.deepEqual(findRunFailures([], [passed('green')]), []);
    assert.deepEqual(findRunFailures(known, [red, failed('red too')]), ['failed: red too']);
    assert.deepEqual(findRunFailures([], [red]), ['failed: red']);
    assert.match(findRunFailures(known, [passed('red')]).join(), /listed as a known failure, but passes/);
    assert.match(findRunFailures(known, [passed('green')]).join(), /no test has this name/);
    assert.match(findRunFailures(known, [red, red]).join(), /several tests have this name/);
    assert.match(findRunFailures(known, [subtestsFailed('red')]).join(), /only its subtests failed/);
    assert.match(findRunFailures([], []).join(), /no test was run/);
  });

  it('determine the exit code of the test command, and are printed', () => {
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
        // With this variable set, the inner test runner would report to the outer one.
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
      const excused = runTests(testEntry('red'));
      assert.equal(excused.status, 0, excused.output);
      assert.match(excused.output, /^known red: red \| npm test, seed 1 \| a fault \| issue 1$/m);
      assert.equal(runTests(testEntry('green')).status, 1);
      assert.equal(runTests(`${testEntry('red')}\n${testEntry('gone')}`).status, 1);
      const withCommand = runTests(`${testEntry('red')}\n${commandEntry('run a')}`);
      assert.equal(withCommand.status, 0, withCommand.output);
      assert.match(withCommand.output, /^known red: red \| npm test, seed 1 \| a fault \| issue 1$/m);
      assert.match(withCommand.output, /^known red: - \| run a \| a fault \| issue 1$/m);
      assert.equal(runTests(commandEntry('red')).status, 1, 'an entry for a command excuses no test');
      for (const invalid of ['red', `${commandEntry('run a')}\n${commandEntry('run a')}`]) {
        const { status, output } = runTests(invalid);
        assert.equal(status, 2, output);
        assert.doesNotMatch(output, /green/, 'no test was run');
      }
    } finally {
      rmSync(folder, { recursive: true });
    }
  });
});
