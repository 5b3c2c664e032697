/**
 * The platform's settings: their names in the TOML file (PROTOCOL), how they are validated, and their form in
 * the code.
 */
import * as z from 'zod/mini';
import { CLOCK_DRIFT } from './constants.ts';
import { leaderLeaseMs, MIN_LEADER_LEASE_MS } from './leader-lease.ts';
import { SettingsError } from './settings-error.ts';

const address = z.string().check(z.regex(/^[\d.]+:\d{1,5}$/, 'must be IPv4:port'));
const positive = z.number().check(z.positive());
/** An amount of a quota. 0, the default, means no guarantee or, as a maximum, no limit. */
const quotaAmount = z._default(z.number().check(z.minimum(0)), 0);

const teamSchema = z.object({
  name: z.string(),
  cpus: quotaAmount,
  cpus_max: quotaAmount,
  gpus: quotaAmount,
  gpus_max: quotaAmount,
});
const objectiveSchema = z.object({
  kind: z.string(),
  class: z.nullish(z.string()),
  within_s: z.nullish(z.number()),
  times: z.nullish(z.number()),
});
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
    teams: z._default(z.array(teamSchema), []),
    objectives: z._default(z.array(objectiveSchema), []),
    workers: z.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: z.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: positive }),
    cloud: z.object({ rps: positive, list_lag_s: z._default(z.number(), 10) }),
    machine_limits: z._default(z.object({ cores: z._default(positive, 1), fd_limit: z.nullish(positive) }), {
      cores: 1,
    }),
  }),
});

/** Another controller of the deployment. */
export interface PeerSettings {
  /** The peer's `node_name`. */
  name: string;
  zone: string;
  /** Address at which it accepts connections from its peers. */
  mesh: string;
}

/** A team's quota. */
export interface Team {
  name: string;
  /** Guaranteed CPU cores; 0: none. */
  cores: number;
  /** Guaranteed accelerators; 0: none. */
  accelerators: number;
  /** Maximum CPU cores at any time; infinite without a limit. */
  maxCores: number;
  /** Maximum accelerators at any time; infinite without a limit. */
  maxAccelerators: number;
}

/**
 * When a class's jobs should be done: within a time after submission, or within a multiple of their deadline.
 */
export type Objective = { kind: 'finished'; withinMs: number } | { kind: 'deadline'; times: number };

/** The settings of one controller. */
export interface Settings {
  /** This controller's name. */
  node: string;
  /** This controller's zone. */
  zone: string;
  /** Address for users, workers and the load balancer. */
  listen: string;
  /** Address at which to accept connections from peers. */
  meshListen: string;
  peers: PeerSettings[];
  /** Address of the cloud's API. */
  cloud: string;
  /** Address of the key-value store. */
  keyValueStore: string;
  /** All zones of the deployment, sorted, so that every controller computes the same shard map. */
  zones: string[];
  /** Teams by name. */
  teams: Map<string, Team>;
  /** Objectives by class of jobs. */
  objectives: Map<string, Objective[]>;
  /** Interval of a worker's heartbeats, in milliseconds. */
  heartbeatIntervalMs: number;
  /** Duration of a worker lease, in milliseconds. */
  leaseMs: number;
  /** Milliseconds after a cancellation by which all tasks of the job must have stopped. */
  cancelMs: number;
  /** The key-value store's limit of requests a second, for the whole deployment. */
  storeRps: number;
  /** The key-value store's limit of writes a second, for the whole deployment. */
  storeWriteRps: number;
  /** Maximum size of a value in the key-value store, in kilobytes. */
  valueKb: number;
  /** Maximum number of operations in a transaction. */
  txnOps: number;
  /** The cloud's limit of calls a second, for the whole deployment. */
  cloudRps: number;
  /** Maximum lag of the cloud's list of machines, in milliseconds. */
  listLagMs: number;
  /** Processor time that this controller has, in cores. */
  cores: number;
  /** Maximum number of sockets of this controller; infinite without a limit. */
  sockets: number;
}

/**
 * Reads the platform's settings from parsed TOML. Throws a `SettingsError` for invalid settings, and for
 * times that leave no safe duration for the leader lease.
 */
export function readSettings(parsed: unknown): Settings {
  const result = z.safeParse(schema, parsed);
  if (!result.success) throw SettingsError.fromSchema(result.error);
  const { deployment, ...file } = result.data;
  const { workers, state, cloud, machine_limits: machineLimits } = deployment;
  const leaseMs = workers.lease_s * 1000;
  const cancelMs = workers.cancel_s * 1000;
  checkLeaderLease(leaseMs, cancelMs);
  return {
    node: file.node_name,
    zone: file.zone,
    listen: file.listen,
    meshListen: file.mesh_addr,
    peers: file.siblings.map((peer) => ({ name: peer.node_name, zone: peer.zone, mesh: peer.peer_addr })),
    cloud: file.endpoints.cloud,
    keyValueStore: file.endpoints.state,
    zones: [...deployment.zones].sort(),
    teams: new Map(deployment.teams.map((team) => [team.name, readTeam(team)])),
    objectives: readObjectives(deployment.objectives),
    heartbeatIntervalMs: workers.report_s * 1000,
    leaseMs,
    cancelMs,
    storeRps: state.rps,
    storeWriteRps: state.write_rps,
    valueKb: state.value_kb,
    txnOps: state.txn_ops,
    cloudRps: cloud.rps,
    listLagMs: cloud.list_lag_s * 1000,
    cores: machineLimits.cores,
    sockets: machineLimits.fd_limit ?? Infinity,
  };
}

/** Throws if the leader lease would be too short; `leader-lease.ts` explains why `cancel_s` limits it. */
function checkLeaderLease(leaseMs: number, cancelMs: number): void {
  const missingMs = MIN_LEADER_LEASE_MS - leaderLeaseMs({ leaseMs, cancelMs });
  if (missingMs <= 0) return;
  const minCancelS = ((cancelMs + missingMs * (1 + CLOCK_DRIFT)) / 1000).toFixed(1);
  throw new SettingsError(
    `deployment.workers.cancel_s: must be ${minCancelS} or more with this lease_s, else no lease could be renewed safely`,
  );
}

function readTeam(team: z.infer<typeof teamSchema>): Team {
  const orInfinite = (most: number): number => (most > 0 ? most : Infinity);
  return {
    name: team.name,
    cores: team.cpus,
    accelerators: team.gpus,
    maxCores: orInfinite(team.cpus_max),
    maxAccelerators: orInfinite(team.gpus_max),
  };
}

function readObjectives(parsed: z.infer<typeof objectiveSchema>[]): Map<string, Objective[]> {
  const byClass = new Map<string, Objective[]>();
  for (const each of parsed) {
    const objective = readObjective(each);
    if (typeof each.class !== 'string' || !objective) continue;
    const ofClass = byClass.get(each.class) ?? [];
    ofClass.push(objective);
    byClass.set(each.class, ofClass);
  }
  return byClass;
}

/**
 * Null for an objective of an unknown kind, or of kind `finished` without a time. Such objectives are
 * ignored.
 */
function readObjective(parsed: z.infer<typeof objectiveSchema>): Objective | null {
  const { kind, within_s: withinS, times } = parsed;
  if (kind === 'finished' && typeof withinS === 'number') return { kind, withinMs: withinS * 1000 };
  if (kind === 'deadline') return { kind, times: times ?? 1 };
  return null;
}
