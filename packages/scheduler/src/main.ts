/**
 * The program: reads its settings, starts one controller with the system's clock, network and randomness, and
 * stops it on SIGTERM or SIGINT. It exits with 2 if the command line or the settings are invalid, or if it
 * cannot listen on its addresses.
 */
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
import type { Log } from './transport/log.ts';
import { systemClock } from './transport/clock.ts';
import { httpClient } from './transport/http-client.ts';
import { serveHttp } from './transport/http-server.ts';
import { type Mesh, startMesh } from './transport/mesh.ts';
import { seededRandom } from './transport/random.ts';
import { VERSION } from './version.ts';

const EXIT_BAD_SETTINGS = 2;
const LOG_LEVELS = ['error', 'warn', 'info', 'debug'];
const DEFAULT_LOG_LEVEL = 'info';

interface CommandLine {
  /** File of the platform's settings. */
  readonly config: string;
  /** File of the operators' own settings. */
  readonly operator?: string;
}

/** Prints the message and exits with the status for invalid settings. */
function exitWithError(message: string): never {
  process.stderr.write(`onyxkeel: ${message}\n`);
  process.exit(EXIT_BAD_SETTINGS);
}

function messageOf(error: unknown): string {
  return String(error instanceof Error ? error.message : error);
}

function parseCommandLine(): CommandLine {
  return new Command('onyxkeel')
    .description('A cluster scheduler: places tasks on rented machines, each controller in its own part.')
    .version(VERSION)
    .requiredOption('--config <file>', "the platform's settings (TOML)")
    .option('--operator <file>', "operators' own settings (XML)")
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_SETTINGS))
    .parse()
    .opts<CommandLine>();
}

/** Reads a settings file. If it is invalid, prints the first line of the error and exits. */
function loadSettings<T>(file: string, read: (text: string) => T): T {
  try {
    return read(readFileSync(file, 'utf8'));
  } catch (error) {
    const [line] = messageOf(error).split('\n');
    return exitWithError(`${file}: ${line ?? 'unreadable'}`);
  }
}

/**
 * A log of JSON lines on stderr. The environment variable `LOG_LEVEL` takes precedence over the operators'
 * settings. An unknown level is replaced by the default.
 */
function createLog(node: string, operatorLevel: string | null): Log {
  const requestedLevel = process.env['LOG_LEVEL'] ?? operatorLevel ?? DEFAULT_LOG_LEVEL;
  const level = LOG_LEVELS.includes(requestedLevel) ? requestedLevel : DEFAULT_LOG_LEVEL;
  return pino({ level, base: { node } }, pino.destination({ fd: 2, sync: true }));
}

/** Runs the controller until the signal is aborted. */
async function run(settings: Settings, log: Log, signal: AbortSignal): Promise<void> {
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
    signal,
  });
  log.info(
    { version: VERSION, incarnation, zone: settings.zone, listen: settings.listen },
    'controller starting',
  );
  try {
    mesh = await startMesh({
      name: settings.node,
      listen: settings.meshListen,
      peers: settings.peers.map((peer) => ({ name: peer.name, address: peer.mesh })),
      clock: systemClock,
      signal,
      onMessage: (from, message) => controller.onMessage(from, message),
      onConnect: () => controller.onConnect(),
    });
    await serveHttp(httpApi(controller), settings.listen, signal);
  } catch (error) {
    exitWithError(messageOf(error));
  }
  await controller.run();
  log.info({}, 'controller stopped');
}

function main(): void {
  const { config, operator } = parseCommandLine();
  const settings = loadSettings(config, (text) => readSettings(parseToml(text, { integersAsBigInt: false })));
  const operatorSettings = operator === undefined ? null : loadSettings(operator, readOperatorSettings);
  const log = createLog(settings.node, operatorSettings?.logLevel ?? null);
  const stop = new AbortController();
  setMaxListeners(0, stop.signal); // every background task and every open call adds a listener
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => stop.abort());
  void run(settings, log, stop.signal);
}

main();
