// A stand-in of a worker (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers").
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-template-expressions, @typescript-eslint/restrict-plus-operands -- plain JavaScript, which has no types */
import { createServer } from 'node:http';
import { call } from './http.mjs';

const MIN_REPORT_GAP_MS = 500;
const FETCH_MS = 100;

export class Worker {
  /**
   * `nodes`: the controllers' names and addresses. `jobs`: what users have submitted, by id, each with `runS`, how
   * long a task runs. `observer` is told of starts and ends: `onStart(worker, task)`, `onEnd(worker, task, why)`.
   */
  constructor({ id, type, zone, spot = false, nodes, jobs, settings, observer }) {
    Object.assign(this, { id, type, zone, spot, nodes, jobs, settings, observer });
    this.epoch = 1;
    this.sequence = 0;
    this.token = 0;
    this.tasks = new Map();
    this.node = Math.floor(Math.random() * nodes.length);
    this.isStopped = false;
    this.wake = () => {};
  }

  async start() {
    this.server = createServer({ keepAliveTimeout: 120_000 }, (req, res) => {
      let text = '';
      req.on('data', (chunk) => (text += chunk));
      req.on('end', () => {
        const [status, body] = this.answer(req.method, req.url, text);
        res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
      });
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.endpoint = `127.0.0.1:${String(this.server.address().port)}`;
    this.renewedAt = performance.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    void this.reportLoop();
  }

  stop() {
    if (this.isStopped) return;
    this.isStopped = true;
    clearInterval(this.leaseTimer);
    this.dropTasks('machine gone');
    this.server.close();
    this.server.closeAllConnections();
    this.wake();
  }

  // --- reports ---

  report() {
    this.sequence++;
    return {
      banco: this.id,
      endpoint: this.endpoint,
      modello: this.type.name,
      sede: this.zone,
      prestiti: this.spot,
      turno: this.epoch,
      progressivo: this.sequence,
      mandato: this.token,
      preavviso_s: null,
      pratiche: [...this.tasks.values()].map(({ task, attempt, state, why }) => ({
        pratica: task,
        tentativo: attempt,
        stato: state,
        ...(why === undefined ? {} : { causale: why }),
      })),
    };
  }

  async reportLoop() {
    while (!this.isStopped) {
      const sentAt = performance.now();
      this.isChanged = false;
      const isAnswered = await this.sendReport(sentAt);
      const intervalMs = isAnswered ? this.settings.reportS * 1000 * (0.75 + Math.random() / 2) : 1000;
      await this.waitForReport(isAnswered, sentAt, intervalMs);
    }
  }

  /** Waits until the next report is due: at the end of the interval, or earlier after a change. */
  async waitForReport(isAnswered, sentAt, intervalMs) {
    const until = performance.now() + intervalMs;
    while (!this.isStopped) {
      const now = performance.now();
      const mayReportAt = sentAt + MIN_REPORT_GAP_MS;
      if (now >= until || (isAnswered && this.isChanged && now >= mayReportAt)) return;
      const next = isAnswered && this.isChanged ? Math.min(until, mayReportAt) : until;
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, next - now));
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  async sendReport(sentAt) {
    const { epoch } = this;
    const node = this.nodes[this.node];
    const answer = await call(node.address, 'POST', '/checkin', this.report(), 4000);
    if (this.isStopped) return false;
    if (answer?.status === 200) {
      if (epoch === this.epoch && this.accepts(answer.body.mandato)) {
        this.renewedAt = Math.max(this.renewedAt, sentAt);
        this.execute(answer.body.ordini ?? []);
      }
      return true;
    }
    const named = answer?.status === 421 ? answer.body.riferisce_a : undefined;
    const index = this.nodes.findIndex(({ name }) => name === named);
    if (index >= 0 && index !== this.node) {
      this.node = index;
      return this.sendReport(performance.now());
    }
    this.node = (this.node + 1) % this.nodes.length;
    return false;
  }

  /** Whether a response with this token counts; a higher one is stored. */
  accepts(token) {
    if (typeof token !== 'number' || token < this.token) return false;
    if (token > this.token) {
      this.token = token;
      this.changed();
    }
    return true;
  }

  changed() {
    this.isChanged = true;
    this.wake();
  }

  checkLease() {
    if (performance.now() - this.renewedAt <= this.settings.leaseS * 1000) return;
    this.dropTasks('lease ended');
    this.epoch++;
    this.sequence = 0;
    this.renewedAt = performance.now();
    this.changed();
  }

  dropTasks(why) {
    for (const entry of this.tasks.values()) this.end(entry, why);
    this.tasks.clear();
  }

  // --- commands ---

  answer(method, url, text) {
    if (method === 'GET' && url === '/inspect') return [200, this.report()];
    if (method !== 'POST' || url !== '/commands') return [404, {}];
    const { mandato, turno, ordini } = JSON.parse(text);
    if (typeof mandato !== 'number' || typeof turno !== 'number') return [400, {}];
    if (mandato < this.token || turno !== this.epoch) return [409, this.report()];
    this.accepts(mandato);
    this.execute(ordini ?? []);
    return [200, this.report()];
  }

  execute(commands) {
    for (const { ordine, pratica, tentativo } of commands) {
      const key = `${pratica}#${String(tentativo)}`;
      const entry = this.tasks.get(key);
      if (ordine === 'launch' && !entry) this.launch(key, pratica, tentativo);
      else if (ordine === 'halt' && entry && entry.state !== 'ended') this.finish(entry, 'stopped');
      else if (ordine === 'forget' && entry?.state === 'ended') this.tasks.delete(key);
    }
  }

  launch(key, task, attempt) {
    const entry = { task, attempt, state: 'fetching' };
    const job = this.jobs.get(task.split('/')[0]);
    const others = [...this.tasks.values()].filter(({ state }) => state !== 'ended');
    this.tasks.set(key, entry);
    this.changed();
    const used = (what) => others.reduce((sum, other) => sum + other.job.spec[what], job?.spec[what] ?? 0);
    if (!job) this.finish(entry, 'no_such');
    else if (others.some((other) => other.task === task)) this.finish(entry, 'busy');
    else if (used('cores') > this.type.cores || used('ram_gb') > this.type.ram_gb) this.finish(entry, 'full');
    else this.run(entry, job);
  }

  /** Fetches the task's image, which takes a moment, and then runs the task. */
  run(entry, job) {
    entry.job = job;
    entry.timer = setTimeout(() => {
      entry.state = 'running';
      this.observer.onStart?.(this, entry.task);
      this.changed();
      entry.timer = setTimeout(() => this.finish(entry, 'done'), job.runS * 1000);
    }, FETCH_MS);
  }

  finish(entry, why) {
    this.end(entry, why);
    entry.state = 'ended';
    entry.why = why;
    this.changed();
  }

  end(entry, why) {
    clearTimeout(entry.timer);
    if (entry.state === 'running') this.observer.onEnd?.(this, entry.task, why);
  }
}
