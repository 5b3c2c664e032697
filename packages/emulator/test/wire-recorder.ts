import { Encoder } from 'cbor-x';
import { createHash, type Hash } from 'node:crypto';
import { type JobSpec, type WireMessage, seededRandom } from '@onyxkeel/scheduler';
import type { Deployment } from '../src/deployment.ts';
import type { Fault } from '../src/scenario.ts';
import { FaultInjector } from '../src/fault-injector.ts';
import { type Host, Network, type Reply, type RequestHandler } from '../src/network.ts';
import { newWork } from '../src/workload.ts';
import { plainJob, TestCluster } from './test-cluster.ts';

/**
 * Records every byte that crosses the emulated wire, in order and with its virtual time: HTTP calls as their callers
 * see them, requests and replies as their servers see them, and the messages between controllers as the real mesh
 * would encode them. Used by wire-characterization.test.ts.
 */

export const channels = ['mesh', 'state', 'workers', 'cloud', 'users'] as const;
export type Channel = (typeof channels)[number];

/** A digest of one channel's traffic, and digests up to each checkpoint, which show where two runs diverge. */
export interface ChannelRecord {
  entries: number;
  sha256: string;
  checkpoints: string[];
}
export type WireRecord = Record<Channel, ChannelRecord>;

export interface PlannedJob {
  atS: number;
  runS: number;
  spec: Partial<JobSpec>;
  cancelAtS?: number;
  againAtS?: number;
}
export interface WireRun {
  seed: number;
  lengthS: number;
  deployment: Partial<Deployment>;
  jobs: PlannedJob[];
  faults: Fault[];
}

const CHECKPOINT_S = 20;
const codec = new Encoder({ useRecords: false }); // as packages/scheduler/src/transport/mesh.ts

class TrafficRecorder {
  private readonly hashes = new Map<Channel, { hash: Hash; entries: number; checkpoints: string[] }>();
  readonly lines: string[] = [];
  /** What the runs covered: peer message kinds, worker commands, notices, redirects, statuses by channel. */
  readonly covered = new Set<string>();

  constructor(private readonly keepsLines: boolean) {
    for (const channel of channels)
      this.hashes.set(channel, { hash: createHash('sha256'), entries: 0, checkpoints: [] });
  }

  write(channel: Channel, atMs: number, text: string): void {
    const line = `${atMs.toFixed(3)} ${text}\n`;
    const entry = this.hashes.get(channel);
    entry?.hash.update(line);
    if (entry) entry.entries++;
    if (channel === 'workers')
      for (const [order] of text.matchAll(/"(launch|halt|forget|riferisce_a|preavviso_s":\d)/g))
        this.covered.add(order.replace(/\d$/, ''));
    if (this.keepsLines) this.lines.push(`${channel} ${line}`);
  }

  checkpoint(): void {
    for (const { hash, checkpoints } of this.hashes.values())
      checkpoints.push(hash.copy().digest('hex').slice(0, 12));
  }

  get record(): WireRecord {
    const recordOf = (channel: Channel): ChannelRecord => {
      const entry = this.hashes.get(channel);
      if (!entry) throw new Error(channel);
      const { entries, hash, checkpoints } = entry;
      return { entries, sha256: hash.copy().digest('hex'), checkpoints };
    };
    return {
      mesh: recordOf('mesh'),
      state: recordOf('state'),
      workers: recordOf('workers'),
      cloud: recordOf('cloud'),
      users: recordOf('users'),
    };
  }
}

/** The channel of a call: named after the end of the call that is not a controller. */
function channelOf(from: Host, to: Host['kind'] | undefined): Channel {
  const kind = to === undefined || to === 'node' ? from.kind : to;
  return kind === 'state' || kind === 'cloud' || kind === 'users' ? kind : 'workers';
}

class RecordedWorld extends TestCluster {
  constructor(
    run: WireRun,
    private readonly recorder: TrafficRecorder,
  ) {
    super(run.deployment, undefined, run.seed);
  }

  protected override onPeerMessage = (from: string, to: string, message: WireMessage): void => {
    this.recorder.covered.add(message.kind);
    const bytes = codec.encode(message).toString('hex');
    this.recorder.write('mesh', this.time.now, `${from}>${to} ${bytes}`);
  };
}

const replyText = (reply: Reply | undefined): string =>
  reply ? `${String(reply.status)} ${String(reply.retryAfterS ?? '-')} ${reply.body}` : 'silence';

/** Records both ends of every HTTP call until `during` completes. */
async function recordHttpDuring<T>(recorder: TrafficRecorder, during: () => Promise<T>): Promise<T> {
  const { prototype } = Network;
  // eslint-disable-next-line @typescript-eslint/unbound-method -- both are called with the network as `this`
  const { serve, exchange } = prototype;
  const kinds = new Map<string, Host['kind']>();
  prototype.serve = function (this: Network, address: string, host: Host, server: RequestHandler): void {
    kinds.set(address, host.kind);
    const recorded: RequestHandler = (request) => {
      const { method, path, body, from } = request;
      const channel = channelOf(from, host.kind);
      const id = `${from.name}>${host.name} ${method} ${path}`;
      const now = (): number => this.time.now;
      recorder.write(channel, now(), `served ${id} ${body}`);
      const recordReply = (reply: Reply | undefined): Reply | undefined => {
        if (reply) recorder.covered.add(`${channel} ${String(reply.status)}`);
        recorder.write(channel, now(), `reply ${id} ${replyText(reply)}`);
        return reply;
      };
      const reply = server(request);
      return reply instanceof Promise ? reply.then(recordReply) : recordReply(reply);
    };
    serve.call(this, address, host, recorded);
  };
  prototype.exchange = async function (this: Network, from, call): Promise<Reply> {
    const channel = channelOf(from, kinds.get(call.address));
    const id = `${from.name}>${call.address} ${call.method} ${call.path}`;
    recorder.write(channel, this.time.now, `call ${id} ${String(call.deadlineMs)} ${call.body ?? '-'}`);
    try {
      const reply = await exchange.call(this, from, call);
      recorder.write(channel, this.time.now, `answer ${id} ${replyText(reply)}`);
      return reply;
    } catch (error) {
      recorder.write(channel, this.time.now, `no answer ${id}`);
      throw error;
    }
  };
  try {
    return await during();
  } finally {
    prototype.serve = serve;
    prototype.exchange = exchange;
  }
}

/** Executes the run. Returns its traffic record, coverage and violations, and all lines if `keepsLines`. */
export async function recordRun(
  run: WireRun,
  keepsLines = false,
): Promise<{ record: WireRecord; covered: Set<string>; lines: string[]; violations: string[] }> {
  const recorder = new TrafficRecorder(keepsLines);
  return recordHttpDuring(recorder, async () => {
    const world = new RecordedWorld(run, recorder);
    const faults = new FaultInjector(world, seededRandom(run.seed ^ 0x5eed));
    for (const fault of run.faults) faults.schedule(fault, 0);
    run.jobs.forEach(({ atS, runS, spec, cancelAtS, againAtS }, n) => {
      const work = newWork({ ...plainJob, id: `j-${String(n + 1)}`, ...spec }, () => runS, false);
      world.workload.set(work.spec.id, work);
      world.users.begin(work, { atS, cancelAtS: cancelAtS ?? null, resubmitAtS: againAtS ?? null });
    });
    world.time.at(20_000, () => void world.users.pollUnknownJob('j-9000000'));
    world.deployment.nodes.forEach((_, node) => world.startController(node));
    for (let s = 0; s < run.lengthS; s += CHECKPOINT_S) {
      await world.run(CHECKPOINT_S);
      recorder.checkpoint();
    }
    const violations = world.checker.violations.map((v) => `${v.rule} ${v.detail}`);
    return { record: recorder.record, covered: recorder.covered, lines: recorder.lines, violations };
  });
}
