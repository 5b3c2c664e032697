// A stand-in of the load balancer (PROTOCOL, "Users -> controller nodes"): it works at connection level.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-template-expressions, @typescript-eslint/restrict-plus-operands -- plain JavaScript, which has no types */
import { connect, createServer } from 'node:net';
import { call } from './http.mjs';

const PROBE_MS = 1000;
const CONNECT_MS = 500;
const TRIES = 3;
const PASSED_OVER_MS = 3000;
const FIRST_PAUSE_MS = 3000;
const LONGEST_PAUSE_MS = 60_000;
const PAUSE_WINDOW_MS = 120_000;
const RESET_AFTER_MS = 5000;

/** A controller as the load balancer sees it. */
function newTarget({ name, address }) {
  return {
    name,
    address,
    isHealthy: false,
    wasHealthy: false,
    probes: [],
    connections: new Set(),
    failures: 0,
    passedOverUntil: 0,
    mayReturnAt: 0,
    removedAt: -Infinity,
    pauseMs: 0,
  };
}

export class LoadBalancer {
  /** `nodes`: the controllers' names and addresses. `record` takes lines about the health of nodes. */
  constructor({ nodes, record }) {
    this.targets = nodes.map(newTarget);
    this.record = record;
  }

  async start() {
    this.server = createServer((socket) => void this.accept(socket));
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${String(this.server.address().port)}`;
    this.timer = setInterval(() => this.targets.forEach((target) => void this.probe(target)), PROBE_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server?.close();
    for (const { connections } of this.targets) for (const socket of connections) socket.destroy();
  }

  get healthyCount() {
    return this.targets.filter(({ isHealthy }) => isHealthy).length;
  }

  async probe(target) {
    const isOk = (await call(target.address, 'GET', '/ready', undefined, 1000))?.status === 200;
    target.probes = [...target.probes.slice(-5), isOk];
    const now = performance.now();
    if (target.isHealthy) {
      const failed = target.probes.filter((ok) => !ok).length;
      if (failed >= 3 || (target.probes.length > 1 && !target.probes.at(-1) && !target.probes.at(-2)))
        this.remove(target, now);
    } else if (isOk && (!target.wasHealthy || (target.probes.at(-2) === true && now >= target.mayReturnAt))) {
      target.isHealthy = true;
      target.wasHealthy = true;
      target.probes = [];
      this.record.line(`load balancer: ${target.name} is healthy`);
    }
  }

  remove(target, now) {
    const isRepeated = now - target.removedAt < PAUSE_WINDOW_MS;
    target.pauseMs = isRepeated ? Math.min(LONGEST_PAUSE_MS, target.pauseMs * 2) : FIRST_PAUSE_MS;
    target.removedAt = now;
    target.mayReturnAt = now + target.pauseMs;
    target.isHealthy = false;
    this.record.line(`load balancer: ${target.name} is unhealthy`);
    setTimeout(() => {
      if (target.isHealthy) return;
      for (const socket of target.connections) socket.resetAndDestroy();
    }, RESET_AFTER_MS);
  }

  /** Gives a user's new connection to the healthy node with the fewest, or to another if that one fails. */
  async accept(socket) {
    socket.on('error', () => socket.destroy());
    const tried = new Set();
    for (let i = 0; i < TRIES; i++) {
      const now = performance.now();
      const [target] = this.targets
        .filter((each) => each.isHealthy && !tried.has(each) && now >= each.passedOverUntil)
        .sort((a, b) => a.connections.size - b.connections.size);
      if (!target) break;
      tried.add(target);
      const upstream = await connectWithin(target.address, CONNECT_MS);
      if (upstream) {
        target.failures = 0;
        this.join(socket, upstream, target);
        return;
      }
      if (++target.failures >= 3) target.passedOverUntil = now + PASSED_OVER_MS;
    }
    socket.resetAndDestroy();
  }

  join(socket, upstream, target) {
    target.connections.add(socket);
    socket.node = target.name;
    socket.on('close', () => {
      target.connections.delete(socket);
      upstream.destroy();
    });
    upstream.on('close', () => socket.destroy());
    upstream.on('error', () => socket.resetAndDestroy());
    socket.pipe(upstream);
    upstream.pipe(socket);
  }

  /** The node that serves the user's connection with this local port; for the record only. */
  nodeOf(localPort) {
    for (const { name, connections } of this.targets)
      for (const socket of connections) if (socket.remotePort === localPort) return name;
    return 'no node';
  }
}

function connectWithin(address, ms) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const timer = setTimeout(() => fail(), ms);
    const fail = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve(null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      resolve(socket);
    });
  });
}
