import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import recorded from './fixtures/wire-samples.json' with { type: 'json' };
import { samples, settingsToml } from './support/wire-samples.ts';

/**
 * Guards what leaves the scheduler and what it reads back, sample by sample: stored records, messages between peers,
 * users', workers', cloud and key-value store calls, settings, and the program's own lines and exit codes.
 * A change that is meant to leave behaviour as it is must not touch the fixture.
 */

const expected: Record<string, Record<string, string>> = recorded;

for (const [group, each] of Object.entries(samples)) {
  describe(`recorded ${group}`, () => {
    it('are all sampled', () => {
      assert.deepEqual(Object.keys(each).sort(), Object.keys(expected[group] ?? {}).sort());
    });
    for (const [name, sample] of Object.entries(each)) {
      it(name, async () => assert.equal(await sample(), expected[group]?.[name]));
    }
  });
}

describe('recorded groups', () => {
  it('are all sampled', () => assert.deepEqual(Object.keys(samples).sort(), Object.keys(expected).sort()));
});

const root = fileURLToPath(new URL('../../../', import.meta.url));
const entry = fileURLToPath(new URL('../src/main.ts', import.meta.url));

describe('service.toml', () => {
  it('has the recorded commands', () => {
    assert.equal(
      readFileSync(join(root, 'deploy/service.toml'), 'utf8'),
      `build = "[ node_modules -nt package-lock.json ] || npm ci --silent; npm run --silent build"
run = "node --max-old-space-size=128 --max-semi-space-size=4 target/main.cjs --config"
`,
    );
  });
});

describe('command line', { concurrency: 4 }, () => {
  const folder = mkdtempSync(join(tmpdir(), 'onyxkeel-'));
  after(() => rmSync(folder, { recursive: true }));
  const file = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const good = file('good.toml', settingsToml);

  /** Exit code, output and errors, with the folder's path left out. */
  function run(...args: string[]): Promise<[code: number, out: string, err: string]> {
    return new Promise((resolve) => {
      const env = { ...process.env, COLUMNS: '80' };
      execFile(
        process.execPath,
        ['--import', 'tsx', entry, ...args],
        { cwd: root, env },
        (error, out, err) => {
          const code = typeof error?.code === 'number' ? error.code : 0;
          resolve([code, out, err.replaceAll(folder, 'FOLDER')]);
        },
      );
    });
  }

  it('prints its usage', async () => {
    const help = `Usage: onyxkeel [options]

A cluster scheduler: places tasks on rented machines, each controller in its own
part.

Options:
  -V, --version      output the version number
  --config <file>    the platform's settings (TOML)
  --operator <file>  operators' own settings (XML)
  -h, --help         display help for command
`;
    assert.deepEqual(await run('--help'), [0, help, '']);
  });

  it('prints its version', async () => {
    assert.deepEqual(await run('--version'), [0, '0.1.0\n', '']);
  });

  const cut = (from: string, to: string): string => {
    assert.ok(settingsToml.includes(from));
    return settingsToml.replace(from, to);
  };
  const faults: [what: string, args: string[], line: string][] = [
    ['no settings', [], "error: required option '--config <file>' not specified"],
    ['an option without a file', ['--config'], "error: option '--config <file>' argument missing"],
    ['an unknown option', ['--config', good, '--odd'], "error: unknown option '--odd'"],
    [
      'a settings file that is not there',
      ['--config', join(folder, 'none.toml')],
      "onyxkeel: FOLDER/none.toml: ENOENT: no such file or directory, open 'FOLDER/none.toml'",
    ],
    [
      'settings that are no TOML',
      ['--config', file('broken.toml', 'node_name =')],
      'onyxkeel: FOLDER/broken.toml: Invalid TOML document: invalid value',
    ],
    [
      'settings that lack a field',
      ['--config', file('lacking.toml', cut('node_name = "node-a"', ''))],
      'onyxkeel: FOLDER/lacking.toml: node_name: Invalid input',
    ],
    [
      'settings with a bad address',
      ['--config', file('address.toml', cut('"127.0.0.1:18081"', '"localhost"'))],
      'onyxkeel: FOLDER/address.toml: mesh_addr: must be IPv4:port',
    ],
    [
      'settings under which no lease could be renewed',
      ['--config', file('short.toml', cut('cancel_s = 36', 'cancel_s = 18'))],
      'onyxkeel: FOLDER/short.toml: deployment.workers.cancel_s: must be 21.5 or more with this lease_s, else no lease could be renewed safely',
    ],
    [
      'operators’ settings that are not there',
      ['--config', good, '--operator', join(folder, 'none.xml')],
      "onyxkeel: FOLDER/none.xml: ENOENT: no such file or directory, open 'FOLDER/none.xml'",
    ],
    [
      'operators’ settings that are no XML',
      ['--config', good, '--operator', file('broken.xml', '<onyxkeel>\n<log>\n</onyxkeel>')],
      "onyxkeel: FOLDER/broken.xml: line 3: Expected closing tag 'log' (opened in line 2, col 1) instead of closing tag 'onyxkeel'.",
    ],
    [
      'operators’ settings with an unknown level',
      [
        '--config',
        good,
        '--operator',
        file('level.xml', '<onyxkeel><log><level>loud</level></log></onyxkeel>'),
      ],
      'onyxkeel: FOLDER/level.xml: onyxkeel.log.level: Invalid input',
    ],
  ];
  for (const [what, args, line] of faults) {
    it(`exits with code 2 and one line of error for ${what}`, async () => {
      assert.deepEqual(await run(...args), [2, '', `${line}\n`]);
    });
  }
});
