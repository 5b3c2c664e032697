import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { parseArgs } from 'node:util';
import { type HttpClient, httpClient } from '../src/transport/http-client.ts';
import { seededRandom } from '../src/transport/random.ts';
import { type Answer, jobSubmission } from './support/cluster.ts';
import { FakeCloud, FakeKeyValueStore, FakeWorker } from './support/fakes.ts';
import { summarizeProfile } from './support/profile.ts';

/**
 * Load test of real controllers: five processes of target/main.cjs on loopback use fakes of the key-value
 * store and the cloud, and serve as many workers and users as a large deployment has. It prints the CPU time
 * and the memory of the controllers and asserts nothing. See docs/account.md.
 */
const { values: options } = parseArgs({
  options: {
    machines: { type: 'string', default: '1200' },
    /** Seconds between two heartbeats of a worker. */
    report: { type: 'string', default: '5' },
    /** Jobs a minute, average tasks of a job, cores of a task, and average seconds that a task runs. */
    jobs: { type: 'string', default: '70' },
    tasks: { type: 'string', default: '60' },
    cores: { type: 'string', default: '2' },
    run: { type: 'string', default: '20' },
    /** Seconds of the phase of steady load, and of the phase with three times the job rate. */
    seconds: { type: 'string', default: '30' },
    /** More flags of Node.js for the controllers, separated by spaces. */
    heap: { type: 'string', default: '' },
    profile: { type: 'boolean', default: false },
  },
});
const MACHINES = Number(options.machines);
const HEARTBEAT_INTERVAL_MS = Number(options.report) * 1000;
const WORKER_LEASE_MS = 31_000;
const PHASE_MS = Number(options.seconds) * 1000;
const ZONES = ['a', 'b', 'c'];
/** Zone of each controller. */
const NODE_ZONES = ['a', 'b', 'c', 'a', 'b'];
const OUTPUT_DIR = 'target/load';
const clock = {
  now: () => performance.now(),
  sleep: (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms)),
  defer: (run: () => void): void => void setImmediate(run),
};
const random = seededRandom(1);
const eventCounts: Record<string, number> = {};
const countEvent = (what: string): void => void (eventCounts[what] = (eventCounts[what] ?? 0) + 1);

// --- fake services ---

type Handler = (method: string, path: string, body: unknown) => unknown;

/** Starts a server on a free port and returns the port. */
async function serve(handler: Handler): Promise<number> {
  const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
    let text = '';
    req.on('data', (chunk: Buffer) => (text += chunk.toString()));
    req.on('end', () => {
      void (async () => {
        const body = text === '' ? undefined : (JSON.parse(text) as unknown);
        const answer = (await handler(req.method ?? '', req.url ?? '', body)) as {
          status: number;
          body: unknown;
        };
        res.writeHead(answer.status, { 'content-type': 'application/json' }).end(JSON.stringify(answer.body));
      })();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const at = server.address();
  return typeof at === 'object' && at ? at.port : 0;
}

/** Sends a request of a worker or a user with the scheduler's HTTP client. */
async function call(
  http: HttpClient,
  port: number,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<Answer> {
  const sent = body === undefined ? {} : { body: JSON.stringify(body) };
  const reply = await http({ address: `127.0.0.1:${String(port)}`, method, path, deadlineMs: 4000, ...sent });
  return { status: reply.status, body: JSON.parse(reply.text || '{}') as Answer['body'] };
}

// --- controllers ---

interface Node {
  name: string;
  zone: string;
  port: number;
  mesh: number;
  child: ChildProcess | null;
}
const nodes: Node[] = NODE_ZONES.map((zone, i) => ({
  name: `node-${String(i)}`,
  zone,
  port: 18_080 + i,
  mesh: 18_180 + i,
  child: null,
}));

function settingsToml(node: Node, state: number, cloud: number): string {
  const at = (port: number): string => `"127.0.0.1:${String(port)}"`;
  const siblings = nodes
    .filter((n) => n !== node)
    .map((n) => `[[siblings]]\nnode_name = "${n.name}"\nzone = "${n.zone}"\npeer_addr = ${at(n.mesh)}\n`);
  return `node_name = "${node.name}"
zone = "${node.zone}"
listen = ${at(node.port)}
mesh_addr = ${at(node.mesh)}
${siblings.join('')}
[endpoints]
cloud = ${at(cloud)}
state = ${at(state)}
[deployment]
zones = ${JSON.stringify(ZONES)}
[[deployment.teams]]
name = "red"
cpus = 100.0
cpus_max = 100000.0
[[deployment.objectives]]
kind = "finished"
class = "nightly"
within_s = 90.0
[deployment.workers]
report_s = ${String(HEARTBEAT_INTERVAL_MS / 1000)}.0
lease_s = ${String(WORKER_LEASE_MS / 1000)}.0
cancel_s = 61.0
[deployment.state]
rps = 250.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 40
[deployment.cloud]
rps = 6.0
`;
}

/** The flags of Node.js with which the platform starts a controller. */
const nodeFlags = (
  /node (.*) target\/main\.cjs/.exec(readFileSync('deploy/service.toml', 'utf8'))?.[1] ?? ''
).split(' ');

/**
 * A script that each controller loads. It prints the composition of the controller's memory in MB at exit.
 */
const MEMORY_REPORT_SCRIPT = `process.on('exit', () => {
  const mb = (bytes) => (bytes / 1048576).toFixed(1);
  const { rss, external, arrayBuffers } = process.memoryUsage();
  const spaces = require('node:v8').getHeapSpaceStatistics().filter((s) => s.physical_space_size > 0);
  const parts = spaces.map((s) => s.space_name + ' ' + mb(s.space_used_size) + ' of ' + mb(s.physical_space_size));
  console.error('memory: resident ' + mb(rss) + ', external ' + mb(external) + ', buffers ' + mb(arrayBuffers) + ', ' + parts.join(', '));
});`;

function startNode(node: Node): void {
  const profile = options.profile
    ? ['--cpu-prof', `--cpu-prof-dir=${OUTPUT_DIR}`, '--cpu-prof-interval=500']
    : [];
  const heap = options.heap === '' ? [] : options.heap.split(' ');
  const main = options.profile ? `${OUTPUT_DIR}/main.cjs` : 'target/main.cjs';
  const memory = ['--require', `./${OUTPUT_DIR}/memory.cjs`];
  node.child = spawn(
    'node',
    [...nodeFlags, ...heap, ...profile, ...memory, main, '--config', `${OUTPUT_DIR}/${node.name}.toml`],
    {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: { ...process.env, LOG_LEVEL: 'error' },
    },
  );
}

/** User and system CPU time of a process in milliseconds, and its current and peak resident memory in MB. */
function readUsage(child: ChildProcess): { user: number; system: number; mb: number; peakMb: number } {
  const pid = String(child.pid);
  // The kernel counts CPU time in ticks of 10 ms.
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const mb = (name: string): number => Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024;
  return {
    user: Number(fields[11]) * 10,
    system: Number(fields[12]) * 10,
    mb: mb('VmRSS'),
    peakMb: mb('VmHWM'),
  };
}

// --- workers and users ---

const jobsOf = new Map<string, { left: number }>();

class SimulatedMachine {
  private node: Node;
  private readonly http = httpClient();
  private isHeartbeatDue = false;
  private wake: () => void = () => {};

  constructor(
    readonly worker: FakeWorker,
    zone: string,
  ) {
    this.node = nodes.find((n) => n.zone === zone) as Node;
  }

  /** Attempts whose end has been scheduled, as "task#attempt number". */
  private attemptsWithScheduledEnd = new Set<string>();

  /** Schedules the end of each attempt that a command has started since the last call. */
  scheduleTaskEnds(): void {
    for (const t of this.worker.tasks) {
      const key = `${t.pratica}#${String(t.tentativo)}`;
      if (t.stato === 'ended' || this.attemptsWithScheduledEnd.has(key)) continue;
      this.attemptsWithScheduledEnd.add(key);
      this.requestHeartbeat();
      const ms = Number(options.run) * (500 + random.below(1000));
      setTimeout(() => {
        this.worker.finish(t.pratica);
        this.requestHeartbeat();
      }, ms);
    }
  }

  private requestHeartbeat(): void {
    this.isHeartbeatDue = true;
    this.wake();
  }

  async run(): Promise<void> {
    await clock.sleep(random.below(HEARTBEAT_INTERVAL_MS));
    for (;;) {
      this.isHeartbeatDue = false;
      const sentAt = clock.now();
      const { agentEpoch } = this.worker;
      const before = this.worker.tasks.length;
      try {
        const answer = await call(this.http, this.node.port, 'POST', '/checkin', this.worker.heartbeat());
        countEvent(`heartbeat ${String(answer.status)}`);
        if (answer.status === 200) {
          this.worker.onHeartbeatReply(sentAt, agentEpoch, answer.body as never);
          this.scheduleTaskEnds();
          if (this.worker.tasks.length < before) this.isHeartbeatDue = true;
        } else {
          this.node = nodes.find((n) => n.name === answer.body['riferisce_a']) ?? this.nextNode();
          await clock.sleep(answer.body['riferisce_a'] === undefined ? 1000 : 250);
          continue;
        }
      } catch {
        countEvent('heartbeat failed');
        this.node = this.nextNode();
        await clock.sleep(1000);
        continue;
      }
      await clock.sleep(500);
      if (this.isHeartbeatDue) continue;
      const wait = HEARTBEAT_INTERVAL_MS * (0.75 + random.below(500) / 1000) - 500;
      await Promise.race([clock.sleep(wait), new Promise<void>((resolve) => (this.wake = resolve))]);
    }
  }

  private nextNode(): Node {
    return nodes[(nodes.indexOf(this.node) + 1) % nodes.length] as Node;
  }
}

let submittedJobs = 0;
const users = httpClient();

/** Simulates a user: submits a job, then polls it every five seconds, for at most five minutes in all. */
async function simulateUser(): Promise<void> {
  const id = `j-${String(++submittedJobs)}`;
  const tasks = 1 + random.below(2 * Number(options.tasks) - 1);
  const spec = {
    ...jobSubmission(id, tasks),
    cores: Number(options.cores),
    stima_s: Number(options.run),
    stampo: `img-${String(random.below(12))}`,
  };
  jobsOf.set(id, { left: tasks });
  let accepted = false;
  const began = clock.now();
  while (clock.now() - began < 300_000) {
    const n = random.below(nodes.length);
    const port = (nodes[n] as Node).port;
    try {
      if (!accepted) {
        const answer = await call(users, port, 'POST', '/v1/jobs', spec);
        countEvent(`submission ${String(answer.status)}`);
        accepted = answer.status < 300;
      } else {
        const answer = await call(users, port, 'GET', `/v1/jobs/${id}`);
        countEvent(`poll ${String(answer.status)}`);
        if (answer.body['stato'] === 'done') {
          countEvent('job done');
          return;
        }
      }
    } catch {
      countEvent('user request failed');
    }
    await clock.sleep(accepted ? 5000 : 1000);
  }
}

// --- load test ---

rmSync(OUTPUT_DIR, { recursive: true, force: true });
mkdirSync(OUTPUT_DIR, { recursive: true });
writeFileSync(`${OUTPUT_DIR}/memory.cjs`, MEMORY_REPORT_SCRIPT);
if (options.profile) {
  const { buildSync } = await import('esbuild');
  buildSync({
    entryPoints: ['packages/scheduler/src/main.ts'],
    bundle: true,
    platform: 'node',
    format: 'cjs',
    outfile: `${OUTPUT_DIR}/main.cjs`,
    define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  });
}
const state = new FakeKeyValueStore(clock);
const cloud = new FakeCloud(ZONES);
const statePort = await serve((m, p, b) => {
  countEvent(`key-value store ${p.split(/[/?]/)[1] ?? ''}`);
  return state.server(m, p, b);
});
const cloudPort = await serve((m, p, b) => (countEvent('cloud'), cloud.server(m, p, b)));
for (const node of nodes) {
  writeFileSync(`${OUTPUT_DIR}/${node.name}.toml`, settingsToml(node, statePort, cloudPort));
  startNode(node);
}
for (let i = 0; i < MACHINES; i++) {
  const zone = ZONES[i % ZONES.length] as string;
  const worker = new FakeWorker(`n-${String(i).padStart(6, '0')}`, zone, clock, WORKER_LEASE_MS);
  const machine = new SimulatedMachine(worker, zone);
  const port = await serve((m, p, b) => {
    countEvent('command');
    const answer = worker.server(m, p, b);
    machine.scheduleTaskEnds();
    return answer;
  });
  worker.address = `127.0.0.1:${String(port)}`;
  void machine.run();
}

/**
 * Waits for `ms` and prints what happened meanwhile: for each controller its user and system CPU time a
 * second and its current and peak memory, and the rate of each kind of event.
 */
async function measurePhase(name: string, ms: number): Promise<void> {
  const alive = nodes.filter((n) => n.child !== null);
  for (const key of Object.keys(eventCounts)) eventCounts[key] = 0;
  const before = alive.map((n) => readUsage(n.child as ChildProcess));
  await clock.sleep(ms);
  const perNode = alive.map((n, i) => {
    const now = readUsage(n.child as ChildProcess);
    const earlier = before[i] as typeof now;
    const perSecond = (ms2: number): string => (ms2 / (ms / 1000)).toFixed(0);
    return `${n.name} ${perSecond(now.user - earlier.user)}+${perSecond(now.system - earlier.system)} ms/s ${now.mb.toFixed(0)}/${now.peakMb.toFixed(0)} MB`;
  });
  const rates = Object.entries(eventCounts).map(([what, n]) => `${what} ${(n / (ms / 1000)).toFixed(1)}/s`);
  console.log(`${name}: ${perNode.join('; ')}\n  ${rates.join(', ')}`);
}

let rate = Number(options.jobs) / 60_000;
void (async () => {
  await clock.sleep(10_000);
  for (;;) {
    void simulateUser();
    await clock.sleep((0.5 + random.below(1000) / 1000) / rate);
  }
})();
await measurePhase('startup', 10_000);
await measurePhase('ramp-up', 30_000);
await measurePhase('steady load', PHASE_MS);
rate *= 3;
await measurePhase('triple job rate', PHASE_MS);
rate /= 3;
const crashedNode = nodes[2] as Node;
crashedNode.child?.kill('SIGKILL');
crashedNode.child = null;
await measurePhase('controller crash, failover', 12_000);
startNode(crashedNode);
await measurePhase('controller restart, shards handed back', 12_000);
for (const node of nodes) node.child?.kill('SIGTERM');
await clock.sleep(3000);
if (options.profile) {
  const profiles = readdirSync(OUTPUT_DIR).filter((f) => f.endsWith('.cpuprofile'));
  for (const file of profiles)
    console.log(summarizeProfile(`${OUTPUT_DIR}/${file}`, `${OUTPUT_DIR}/main.cjs`));
}
process.exit(0);
