import { Encoder } from 'cbor-x';
import { createHash, type Hash } from 'node:crypto';
import { type JobSpec, type WireMessage, seededRandom } from '@onyxkeel/scheduler';
import type { Deployment } from '../src/cluster.ts';
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

/** What one channel carried: a digest of all of it, and of all up to each checkpoint, to find where runs part. */
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

class Tape {
  private readonly hashes = new Map<Channel, { hash: Hash; entries: number; checkpoints: string[] }>();
  readonly lines: string[] = [];
  /** What was met: kinds of messages between controllers, orders to workers, notices, redirects, statuses by channel. */
  readonly met = new Set<string>();

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
        this.met.add(order.replace(/\d$/, ''));
    if (this.keepsLines) this.lines.push(`${channel} ${line}`);
  }

  checkpoint(): void {
    for (const { hash, checkpoints } of this.hashes.values())
      checkpoints.push(hash.copy().digest('hex').slice(0, 12));
  }

  get record(): WireRecord {
    const of = (channel: Channel): ChannelRecord => {
      const entry = this.hashes.get(channel);
      if (!entry) throw new Error(channel);
      const { entries, hash, checkpoints } = entry;
      return { entries, sha256: hash.copy().digest('hex'), checkpoints };
    };
    return {
      mesh: of('mesh'),
      state: of('state'),
      workers: of('workers'),
      cloud: of('cloud'),
      users: of('users'),
    };
  }
}

/** Between whom a call is: the one that is no controller names the channel. */
function channelOf(from: Host, to: Host['kind'] | undefined): Channel {
  const kind = to === undefined || to === 'node' ? from.kind : to;
  return kind === 'state' || kind === 'cloud' || kind === 'users' ? kind : 'workers';
}

class RecordedWorld extends TestCluster {
  constructor(
    run: WireRun,
    private readonly tape: Tape,
  ) {
    super(run.deployment, undefined, run.seed);
  }

  protected override onPeerMessage = (from: string, to: string, message: WireMessage): void => {
    this.tape.met.add(message.kind);
    const bytes = codec.encode(message).toString('hex');
    this.tape.write('mesh', this.time.now, `${from}>${to} ${bytes}`);
  };
}

const replyText = (reply: Reply | undefined): string =>
  reply ? `${String(reply.status)} ${String(reply.retryAfterS ?? '-')} ${reply.body}` : 'silence';

/** Writes both ends of every HTTP call on the tape, for as long as `during` takes. */
async function recordingHttp<T>(tape: Tape, during: () => Promise<T>): Promise<T> {
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
      tape.write(channel, now(), `served ${id} ${body}`);
      const done = (reply: Reply | undefined): Reply | undefined => {
        if (reply) tape.met.add(`${channel} ${String(reply.status)}`);
        tape.write(channel, now(), `reply ${id} ${replyText(reply)}`);
        return reply;
      };
      const reply = server(request);
      return reply instanceof Promise ? reply.then(done) : done(reply);
    };
    serve.call(this, address, host, recorded);
  };
  prototype.exchange = async function (this: Network, from, call): Promise<Reply> {
    const channel = channelOf(from, kinds.get(call.address));
    const id = `${from.name}>${call.address} ${call.method} ${call.path}`;
    tape.write(channel, this.time.now, `call ${id} ${String(call.deadlineMs)} ${call.body ?? '-'}`);
    try {
      const reply = await exchange.call(this, from, call);
      tape.write(channel, this.time.now, `answer ${id} ${replyText(reply)}`);
      return reply;
    } catch (error) {
      tape.write(channel, this.time.now, `no answer ${id}`);
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

/** Plays the run; what crossed the wire, what was met on it, and all lines if they are wanted. */
export async function recordRun(
  run: WireRun,
  keepsLines = false,
): Promise<{ record: WireRecord; met: Set<string>; lines: string[]; violations: string[] }> {
  const tape = new Tape(keepsLines);
  return recordingHttp(tape, async () => {
    const world = new RecordedWorld(run, tape);
    const faults = new FaultInjector(world, seededRandom(run.seed ^ 0x5eed));
    for (const fault of run.faults) faults.plan(fault, 0);
    run.jobs.forEach(({ atS, runS, spec, cancelAtS, againAtS }, n) => {
      const work = newWork({ ...plainJob, id: `j-${String(n + 1)}`, ...spec }, () => runS, false);
      world.workload.set(work.spec.id, work);
      world.users.begin(work, { atS, cancelAtS: cancelAtS ?? null, againAtS: againAtS ?? null });
    });
    world.time.at(20_000, () => void world.users.askUnknown('j-9000000'));
    world.deployment.nodes.forEach((_, node) => world.startController(node));
    for (let s = 0; s < run.lengthS; s += CHECKPOINT_S) {
      await world.run(CHECKPOINT_S);
      tape.checkpoint();
    }
    const violations = world.checker.violations.map((v) => `${v.rule} ${v.detail}`);
    return { record: tape.record, met: tape.met, lines: tape.lines, violations };
  });
}
