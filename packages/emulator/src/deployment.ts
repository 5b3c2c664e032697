/** The parameters of a simulated deployment, and the settings that its controllers get from the platform. */
import { readSettings, type Settings } from '@onyxkeel/scheduler';
import type { Capacity } from './cloud.ts';
import type { MachineTypeSpec } from './protocol/wire.ts';

/** The parameters of a deployment, in the units of the platform's settings (DEPLOY). */
export interface Deployment {
  zones: string[];
  /** Zones of the controllers, in order. */
  nodes: string[];
  /** Machine types that the cloud offers. */
  types: MachineTypeSpec[];
  /** How many machines the cloud has. */
  capacity: Capacity[];
  /** Machines that are up at the start. */
  initial: { type: string; zone: string; spot: boolean; count: number }[];
  /** Guarantee and quota of each team, in CPUs. */
  teams: { name: string; cores: number; maxCores: number }[];
  /** Objectives: how soon jobs of a class should be done. */
  objectives: { class: string; withinS: number }[];
  /** Heartbeat interval. */
  heartbeatS: number;
  /** Worker lease. */
  leaseS: number;
  /** For how long after the confirmed cancellation of a job its tasks may still start or run. */
  cancelS: number;
  /**
   * Limits of the key-value store: requests and writes a second, size of a value, operations of a
   * transaction.
   */
  store: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  /** The cloud's limit of requests a second, and how far its lists lag behind. */
  cloud: { rps: number; listLagS: number };
  /** Greatest error of a controller's wall clock, in either direction. */
  wallClockErrorMs: number;
}

/** The name of the controller with this index in `Deployment.nodes`. */
export function controllerName(node: number): string {
  return `node-${String(node)}`;
}

/** The address at which the controller serves users, workers and peers. */
export function controllerAddress(node: number): string {
  return `127.0.0.1:${String(9000 + node)}`;
}

/** The settings that the platform would give to the controller. */
export function controllerSettings(deployment: Deployment, node: number): Settings {
  const { cloud, nodes, objectives, store, teams, zones } = deployment;
  const { cancelS, heartbeatS, leaseS } = deployment;
  const controllers = nodes.map((zone, index) => ({
    node_name: controllerName(index),
    zone,
    peer_addr: controllerAddress(index),
  }));
  return readSettings({
    node_name: controllerName(node),
    zone: nodes[node],
    listen: controllerAddress(node),
    mesh_addr: controllerAddress(node),
    siblings: controllers.filter((_, index) => index !== node),
    endpoints: { cloud: '127.0.0.1:1', state: '127.0.0.1:2' },
    deployment: {
      zones,
      teams: teams.map(({ name, cores, maxCores }) => ({ name, cpus: cores, cpus_max: maxCores })),
      objectives: objectives.map((each) => ({
        kind: 'finished',
        class: each.class,
        within_s: each.withinS,
      })),
      workers: { report_s: heartbeatS, lease_s: leaseS, cancel_s: cancelS },
      state: {
        rps: store.rps,
        write_rps: store.writeRps,
        value_kb: store.valueKb,
        txn_ops: store.txnOps,
      },
      cloud: { rps: cloud.rps, list_lag_s: cloud.listLagS },
    },
  });
}
