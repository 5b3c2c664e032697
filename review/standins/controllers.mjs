// Starts controllers as separate processes with the run command of deploy/service.toml.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-template-expressions -- plain JavaScript, which has no types */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call } from './http.mjs';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** The program and its arguments, to which the path of the settings file is added. */
function runCommand() {
  const line = /^run\s*=\s*"(.*)"$/m.exec(readFileSync(join(root, 'deploy/service.toml'), 'utf8'));
  return line[1].split(' ');
}

/** Free ports below those that the system gives to outgoing connections, which would take them before the start. */
export async function freePorts(count) {
  const ports = new Set();
  for (let tries = 0; ports.size < count && tries < 1000; tries++) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export class Controllers {
  /** `settingsOf(node)`: the text of the node's settings file from `endpoints` on. */
  constructor({ folder, zones, settingsOf, onExit }) {
    Object.assign(this, { folder, zones, settingsOf, onExit });
    this.nodes = [];
    // Whatever ends this process also ends the controllers.
    process.on('exit', () => this.nodes.forEach(({ child }) => child?.kill('SIGKILL')));
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(2));
  }

  /** Chooses free ports for all nodes. */
  async prepare() {
    const ports = await freePorts(2 * this.zones.length);
    this.nodes = this.zones.map((zone, index) => ({
      name: `keelhost-${String(index)}`,
      zone,
      address: `127.0.0.1:${String(ports[2 * index])}`,
      mesh: `127.0.0.1:${String(ports[2 * index + 1])}`,
      child: null,
    }));
  }

  writeSettings(node) {
    const siblings = this.nodes
      .filter((other) => other !== node)
      .map(
        ({ name, zone, mesh }) =>
          `[[siblings]]\nnode_name = "${name}"\nzone = "${zone}"\npeer_addr = "${node.peers?.[name] ?? mesh}"\n`,
      );
    const file = join(this.folder, `${node.name}.toml`);
    writeFileSync(
      file,
      `node_name = "${node.name}"\nzone = "${node.zone}"\nlisten = "${node.address}"\nmesh_addr = "${node.mesh}"\n\n` +
        `${siblings.join('\n')}\n${this.settingsOf(node)}`,
    );
    return file;
  }

  start(node) {
    const [program, ...args] = runCommand();
    const child = spawn(program, [...args, this.writeSettings(node)], {
      cwd: root,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    const log = createWriteStream(join(this.folder, `${node.name}.log`), { flags: 'a' });
    child.stderr.pipe(log);
    node.child = child;
    child.on('exit', (code, signal) => {
      if (node.child === child) node.child = null;
      this.onExit?.(node, code, signal, child.endedByTest === true);
    });
  }

  /** Ends a controller without notice, as a crash does. */
  kill(node) {
    const { child } = node;
    if (!child) return Promise.resolve();
    child.endedByTest = true;
    return new Promise((resolve) => {
      child.once('exit', resolve);
      child.kill('SIGKILL');
    });
  }

  async killAll() {
    await Promise.all(this.nodes.map((node) => this.kill(node)));
  }

  async isReady(node) {
    return (await call(node.address, 'GET', '/ready', undefined, 1000))?.status === 200;
  }

  /** Waits until all nodes are ready; false if that takes longer than `seconds`. */
  async ready(seconds) {
    const until = performance.now() + seconds * 1000;
    while (performance.now() < until) {
      const states = await Promise.all(this.nodes.map((node) => this.isReady(node)));
      if (states.every(Boolean)) return true;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    return false;
  }
}
