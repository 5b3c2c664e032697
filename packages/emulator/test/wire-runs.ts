import type { Deployment } from '../src/deployment.ts';
import type { WireRun } from './wire-recorder.ts';
import { smallType } from './test-cluster.ts';

/** The runs whose wire traffic wire-characterization.test.ts pins. Any change here changes the recordings. */

const largeType = { ...smallType, name: 'large', cores: 16, ramGb: 128, price: 0.8, spotPrice: 0.2 };

function twoTypeDeployment(zones: string[], nodes: string[], limits: [number, number]): Partial<Deployment> {
  return {
    zones,
    nodes,
    types: [smallType, largeType],
    capacity: zones.flatMap((zone) =>
      ['small', 'large'].map((type) => ({ type, zone, ordinary: 5, spot: 5 })),
    ),
    initial: zones.flatMap((zone) => [
      { type: 'small', zone, spot: false, count: 2 },
      { type: 'large', zone, spot: true, count: 1 },
    ]),
    teams: [
      { name: 'red', cores: 8, maxCores: limits[0] },
      { name: 'blue', cores: 8, maxCores: limits[1] },
    ],
    objectives: [
      { class: 'short', withinS: 60 },
      { class: 'long', withinS: 120 },
    ],
    wallClockErrorMs: 100,
  };
}

const longJob = { class: 'long', estimateS: 40, spot: true, checkpointS: 3, saveS: 1 };

export const wireRuns: Record<string, WireRun> = {
  /** No controller fails: quotas, cancellations, repeated and invalid submissions, rentals, spot reclaims. */
  calm: {
    seed: 11,
    lengthS: 120,
    deployment: twoTypeDeployment(['a', 'b', 'c'], ['a', 'b', 'c'], [24, 0]),
    jobs: [
      { atS: 14, runS: 6, spec: { tasks: 30 }, againAtS: 40 },
      { atS: 15, runS: 40, spec: { ...longJob, team: 'blue', tasks: 24 }, cancelAtS: 50 },
      { atS: 16, runS: 8, spec: { tasks: 12, spread: true, priority: 1, deadlineS: 60 } },
      { atS: 18, runS: 5, spec: { tasks: 8, oneZone: true, priority: 0 }, cancelAtS: 19 },
      { atS: 20, runS: 5, spec: { team: 'blue', tasks: 60, zone: 'b', priority: 3 } },
      { atS: 22, runS: 9, spec: { tasks: 6, types: ['large'], spot: true, cores: 4 } },
      { atS: 24, runS: 1e9, spec: { kind: 'service', tasks: 2, estimateS: 0 }, cancelAtS: 90 },
      { atS: 30, runS: 10, spec: { team: 'blue', kind: 'gang', tasks: 3 } },
      { atS: 60, runS: 4, spec: { team: 'green', tasks: 20, image: 'img-2', imageGb: 3 } },
    ],
    faults: [
      { kind: 'odd requests', atS: 20, forS: 40 },
      { kind: 'taken', atS: 35, forS: 20, share: 0.6, noticeS: 10 },
      { kind: 'close looks', atS: 30, forS: 20 },
    ],
  },
  /** Controllers are killed and restarted: one, each in turn, all at once. Copies of messages arrive late. */
  failover: {
    seed: 22,
    lengthS: 160,
    deployment: twoTypeDeployment(['a', 'b'], ['a', 'b', 'a'], [40, 24]),
    jobs: [
      { atS: 13, runS: 30, spec: { ...longJob, tasks: 20 } },
      { atS: 14, runS: 7, spec: { team: 'blue', tasks: 40 }, againAtS: 60 },
      { atS: 24, runS: 20, spec: { ...longJob, tasks: 10, oneZone: true }, cancelAtS: 45 },
      { atS: 50, runS: 5, spec: { team: 'blue', tasks: 16, spread: true } },
      { atS: 80, runS: 12, spec: { tasks: 20 }, cancelAtS: 92 },
      { atS: 90, runS: 5, spec: { team: 'blue', tasks: 20 } },
    ],
    faults: [
      { kind: 'end', atS: 26, forS: 10, node: 0 },
      { kind: 'back', atS: 55, forS: 10, node: 1, times: 2, backMs: 400 },
      { kind: 'rolling', atS: 70, forS: 5, gapS: 6 },
      { kind: 'repeats', atS: 60, forS: 40, share: 0.1 },
      { kind: 'kept reports', atS: 60, forS: 40, share: 0.3 },
      { kind: 'end all', atS: 110, forS: 5 },
      { kind: 'cancel now', atS: 100, forS: 5, count: 2, hangS: 8 },
    ],
  },
  /**
   * Controllers cannot reach the key-value store, workers or peers. Machines hang, crash or fail their tasks.
   * The cloud and the key-value store have outages, and all controllers restart.
   */
  cuts: {
    seed: 33,
    lengthS: 140,
    deployment: twoTypeDeployment(['a', 'b', 'c'], ['a', 'b', 'c', 'a'], [0, 32]),
    jobs: [
      { atS: 13, runS: 12, spec: { tasks: 24 } },
      { atS: 14, runS: 30, spec: { ...longJob, team: 'blue', tasks: 16 }, cancelAtS: 34 },
      { atS: 28, runS: 5, spec: { tasks: 16, spread: true } },
      { atS: 32, runS: 5, spec: { team: 'blue', tasks: 10 }, cancelAtS: 36 },
      { atS: 38, runS: 5, spec: { tasks: 8, zone: 'c' }, againAtS: 44 },
      { atS: 60, runS: 15, spec: { tasks: 30 }, cancelAtS: 75 },
      { atS: 70, runS: 6, spec: { team: 'blue', tasks: 12, cores: 8 } },
    ],
    faults: [
      { kind: 'refused', atS: 25, forS: 30, node: 0 },
      { kind: 'cut', atS: 40, forS: 12, node: 1, from: 'siblings', mode: 'hold' },
      { kind: 'cut', atS: 58, forS: 20, node: 2, from: 'workers', mode: 'drop' },
      { kind: 'zones apart', atS: 62, forS: 20, zone: 0, other: 1, mode: 'reset' },
      { kind: 'lost answers', atS: 30, forS: 40, share: 0.1 },
      { kind: 'hang', atS: 45, forS: 15, share: 0.2 },
      { kind: 'sick', atS: 50, forS: 15, share: 0.1 },
      { kind: 'die', atS: 84, forS: 15, share: 0.2 },
      { kind: 'cloud outage', atS: 85, forS: 10 },
      { kind: 'outage', atS: 95, forS: 14 },
      { kind: 'end all', atS: 96, forS: 5 },
    ],
  },
};
