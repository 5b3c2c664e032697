import * as z from 'zod/mini';
import { CLOCK_DRIFT } from './constants.ts';
import { MIN_LEADER_LEASE_MS, leaderLeaseMs } from './leader-lease.ts';

const address = z.string().check(z.regex(/^[\d.]+:\d{1,5}$/, 'must be IPv4:port'));
const positive = z.number().check(z.positive());
const limit = z._default(z.number().check(z.minimum(0)), 0);

const schema = z.object({
  node_name: z.string().check(z.minLength(1)),
  zone: z.string().check(z.minLength(1)),
  listen: address,
  mesh_addr: address,
  siblings: z._default(
    z.array(z.object({ node_name: z.string(), zone: z.string(), peer_addr: address })),
    [],
  ),
  endpoints: z.object({ cloud: address, state: address }),
  deployment: z.object({
    zones: z.array(z.string()).check(z.minLength(1)),
    teams: z._default(
      z.array(z.object({ name: z.string(), cpus: limit, cpus_max: limit, gpus: limit, gpus_max: limit })),
      [],
    ),
    objectives: z._default(
      z.array(
        z.object({
          kind: z.string(),
          class: z.nullish(z.string()),
          within_s: z.nullish(z.number()),
          times: z.nullish(z.number()),
        }),
      ),
      [],
    ),
    workers: z.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: z.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: positive }),
    cloud: z.object({ rps: positive, list_lag_s: z._default(z.number(), 10) }),
    machine_limits: z._default(z.object({ cores: z._default(positive, 1), fd_limit: z.nullish(positive) }), {
      cores: 1,
    }),
  }),
});

export interface PeerSettings {
  name: string;
  zone: string;
  mesh: string;
}

export interface Team {
  name: string;
  /** Guaranteed; 0: none. */
  cores: number;
  accelerators: number;
  /** Most at any moment; infinite where there is none. */
  maxCores: number;
  maxAccelerators: number;
}

/** By when a class's jobs should be done: so long after submission, or so many times their own deadline. */
export type Objective = { kind: 'finished'; withinMs: number } | { kind: 'deadline'; times: number };

export interface Settings {
  node: string;
  zone: string;
  listen: string;
  meshListen: string;
  peers: PeerSettings[];
  cloud: string;
  keyValueStore: string;
  zones: string[];
  teams: Map<string, Team>;
  /** What is expected of each class of jobs. */
  objectives: Map<string, Objective[]>;
  heartbeatIntervalMs: number;
  leaseMs: number;
  cancelMs: number;
  storeRps: number;
  storeWriteRps: number;
  valueKb: number;
  txnOps: number;
  cloudRps: number;
  listLagMs: number;
  /** Processor time that this node has, in cores. */
  cores: number;
  /** Sockets that it may have; infinite where there is no limit. */
  sockets: number;
}

/** The platform's settings; throws an error of one line that names the field where they are bad. */
export function readSettings(parsed: unknown): Settings {
  const result = z.safeParse(schema, parsed);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw new Error(`${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'invalid'}`);
  }
  const s = result.data;
  const d = s.deployment;
  const leaseMs = d.workers.lease_s * 1000;
  const cancelMs = d.workers.cancel_s * 1000;
  const lacking = MIN_LEADER_LEASE_MS - leaderLeaseMs({ leaseMs, cancelMs });
  if (lacking > 0) {
    const least = ((cancelMs + lacking * (1 + CLOCK_DRIFT)) / 1000).toFixed(1);
    throw new Error(
      `deployment.workers.cancel_s: must be ${least} or more with this lease_s, else no lease could be renewed safely`,
    );
  }
  const most = (value: number): number => (value > 0 ? value : Infinity);
  return {
    node: s.node_name,
    zone: s.zone,
    listen: s.listen,
    meshListen: s.mesh_addr,
    peers: s.siblings.map((p) => ({ name: p.node_name, zone: p.zone, mesh: p.peer_addr })),
    cloud: s.endpoints.cloud,
    keyValueStore: s.endpoints.state,
    zones: [...d.zones].sort(),
    teams: new Map(
      d.teams.map((t) => [
        t.name,
        {
          name: t.name,
          cores: t.cpus,
          accelerators: t.gpus,
          maxCores: most(t.cpus_max),
          maxAccelerators: most(t.gpus_max),
        },
      ]),
    ),
    objectives: readObjectives(d.objectives),
    heartbeatIntervalMs: d.workers.report_s * 1000,
    leaseMs,
    cancelMs,
    storeRps: d.state.rps,
    storeWriteRps: d.state.write_rps,
    valueKb: d.state.value_kb,
    txnOps: d.state.txn_ops,
    cloudRps: d.cloud.rps,
    listLagMs: d.cloud.list_lag_s * 1000,
    cores: d.machine_limits.cores,
    sockets: d.machine_limits.fd_limit ?? Infinity,
  };
}

function readObjectives(
  objectives: {
    kind: string;
    class?: string | null | undefined;
    within_s?: number | null | undefined;
    times?: number | null | undefined;
  }[],
): Map<string, Objective[]> {
  const aims = new Map<string, Objective[]>();
  for (const o of objectives) {
    if (typeof o.class !== 'string') continue;
    const of = aims.get(o.class) ?? [];
    if (o.kind === 'finished' && typeof o.within_s === 'number') {
      of.push({ kind: 'finished', withinMs: o.within_s * 1000 });
    } else if (o.kind === 'deadline') of.push({ kind: 'deadline', times: o.times ?? 1 });
    else continue;
    aims.set(o.class, of);
  }
  return aims;
}
