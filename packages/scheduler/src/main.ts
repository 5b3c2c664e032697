import { randomBytes } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { pino } from 'pino';
import { parse as parseToml } from 'smol-toml';
import { IDLE_SOCKETS_SHARE } from './constants.ts';
import { Controller } from './coordination/controller.ts';
import { readOperatorSettings } from './operator-settings.ts';
import { httpApi } from './protocol/http-api.ts';
import { readSettings, type Settings } from './settings.ts';
import { systemClock } from './transport/clock.ts';
import { httpClient } from './transport/http-client.ts';
import { serveHttp } from './transport/http-server.ts';
import { type Mesh, startMesh } from './transport/mesh.ts';
import { seededRandom } from './transport/random.ts';
import { VERSION } from './version.ts';

const BAD_SETTINGS = 2;

function fail(text: string): never {
  process.stderr.write(`onyxkeel: ${text}\n`);
  process.exit(BAD_SETTINGS);
}

/** Reads a file with a reader that throws one-line errors; ends the process with such a line. */
function load<T>(file: string, read: (text: string) => T): T {
  try {
    return read(readFileSync(file, 'utf8'));
  } catch (error) {
    const [line] = String(error instanceof Error ? error.message : error).split('\n');
    return fail(`${file}: ${line ?? 'unreadable'}`);
  }
}

const command = new Command('onyxkeel')
  .description('A cluster scheduler: places tasks on rented machines, each controller in its own part.')
  .version(VERSION)
  .requiredOption('--config <file>', "the platform's settings (TOML)")
  .option('--operator <file>', "operators' own settings (XML)")
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : BAD_SETTINGS))
  .parse();
const options = command.opts<{ config: string; operator?: string }>();

const settings: Settings = load(options.config, (text) =>
  readSettings(parseToml(text, { integersAsBigInt: false })),
);
const operator = options.operator === undefined ? null : load(options.operator, readOperatorSettings);
const wanted = process.env['LOG_LEVEL'] ?? operator?.logLevel ?? 'info';
const level = ['error', 'warn', 'info', 'debug'].includes(wanted) ? wanted : 'info';
const log = pino({ level, base: { node: settings.node } }, pino.destination({ fd: 2, sync: true }));

const stop = new AbortController();
setMaxListeners(0, stop.signal); // every duty and open call listens
const incarnation = randomBytes(8).toString('hex');
let mesh: Mesh | null = null;
const controller = new Controller({
  settings,
  incarnation,
  clock: systemClock,
  wallClock: () => Date.now(),
  random: seededRandom(randomBytes(4).readInt32BE(0)),
  log,
  http: httpClient(settings.sockets * IDLE_SOCKETS_SHARE),
  sendToPeer: (peer, message) => mesh?.send(peer, message) ?? false,
  connectedPeers: () => mesh?.connected() ?? [],
  signal: stop.signal,
});
for (const name of ['SIGTERM', 'SIGINT'] as const) process.once(name, () => stop.abort());
log.info({ version: VERSION, incarnation, zone: settings.zone, listen: settings.listen }, 'starting');
async function main(): Promise<void> {
  try {
    mesh = await startMesh({
      name: settings.node,
      listen: settings.meshListen,
      peers: settings.peers.map((s) => ({ name: s.name, address: s.mesh })),
      clock: systemClock,
      signal: stop.signal,
      onMessage: (from, message) => controller.onMessage(from, message),
      onConnect: () => controller.onConnect(),
    });
    await serveHttp(httpApi(controller), settings.listen, stop.signal);
  } catch (error) {
    fail(String(error instanceof Error ? error.message : error));
  }
  await controller.run();
  log.info({}, 'stopped');
}
void main();
