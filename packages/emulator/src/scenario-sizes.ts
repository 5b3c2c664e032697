/**
 * The sizes of `npm run explore`. Their names are the values of its option `--size`. Their ranges decide what
 * a seed generates.
 */
import type { Fault } from './scenario.ts';

/** The ranges from which scenarios are generated. Pairs are the minimum and the maximum. */
export interface ScenarioSize {
  zones: [number, number];
  /** Controllers. */
  nodes: [number, number];
  /** Machines up at the start in each zone. */
  machines: [number, number];
  jobs: [number, number];
  /** Maximum number of tasks of a job. */
  tasks: number;
  /** Single faults, in addition to `combinedFaults`. */
  faults: [number, number];
  /** Virtual seconds within which users submit jobs and faults begin. */
  spanS: number;
  /** The kinds of faults; without it, all kinds but `optInKinds`. */
  only?: Fault['kind'][];
  /** Range of the seconds that a job's tasks run; without it, a mix of short and long tasks. */
  runS?: [number, number];
  /** Range of the milliseconds until a controller of the fault `back` is back; by default 50 to 10,000. */
  backMs?: [number, number];
  /** Combined faults: pairs and triples, of which the later faults begin at a step that the first causes. */
  combinedFaults?: [number, number];
}

/**
 * - `small`, `middle`, `fleet`: clusters of three sizes, with all kinds of faults but `optInKinds`.
 * - `storm`: few machines, with many faults and many pending jobs at the same time.
 * - `silence`: machines that hang and cannot be returned, with tasks longer than a worker lease, so that
 *   tasks can be started elsewhere only when leases expire.
 * - `strangers`: controllers and zones that are up but cannot reach hosts that others reach.
 * - `losses`: the key-value store loses its data, in part or whole, during other faults.
 * - `returns`: controllers restart within 0.05 to 10 s, often several times, and late copies of earlier
 *   messages follow.
 * - `meetings`: combinations of two or three faults, long and short tasks, and cancellations around the
 *   faults.
 * - `copies`: copies of direct commands that were executed and answered reach their machines again, while
 *   controllers restart within a second and users cancel jobs.
 */
export const scenarioSizes: Record<
  | 'small'
  | 'storm'
  | 'silence'
  | 'strangers'
  | 'losses'
  | 'returns'
  | 'meetings'
  | 'copies'
  | 'middle'
  | 'fleet',
  ScenarioSize
> = {
  small: {
    zones: [1, 3],
    nodes: [1, 5],
    machines: [1, 3],
    jobs: [1, 8],
    tasks: 24,
    faults: [0, 7],
    spanS: 70,
  },
  storm: {
    zones: [2, 3],
    nodes: [3, 5],
    machines: [2, 4],
    jobs: [6, 12],
    tasks: 40,
    faults: [5, 12],
    spanS: 50,
  },
  silence: {
    zones: [1, 1],
    nodes: [1, 2],
    machines: [16, 24],
    jobs: [2, 3],
    tasks: 40,
    faults: [4, 8],
    spanS: 40,
    only: ['hang', 'cloud outage'],
    runS: [60, 120],
  },
  strangers: {
    zones: [2, 3],
    nodes: [3, 4],
    machines: [2, 4],
    jobs: [8, 14],
    tasks: 30,
    faults: [2, 6],
    spanS: 40,
    only: ['refused', 'cut', 'zone cut', 'zones apart', 'late transactions'],
  },
  losses: {
    zones: [1, 3],
    nodes: [2, 5],
    machines: [2, 4],
    jobs: [6, 14],
    tasks: 30,
    faults: [1, 5],
    spanS: 60,
    only: [
      'lose',
      'end',
      'end all',
      'rolling',
      'freeze',
      'outage',
      'refused',
      'late transactions',
      'cut',
      'zone cut',
      'hang',
      'die',
    ],
  },
  returns: {
    zones: [1, 3],
    nodes: [2, 5],
    machines: [2, 5],
    jobs: [6, 14],
    tasks: 30,
    faults: [3, 10],
    spanS: 60,
    only: [
      'back',
      'repeats',
      'freeze',
      'outage',
      'refused',
      'late transactions',
      'late cloud',
      'cut',
      'zone cut',
      'hang',
      'die',
      'taken',
      'sick',
    ],
  },
  meetings: {
    zones: [1, 3],
    nodes: [2, 5],
    machines: [3, 6],
    jobs: [5, 12],
    tasks: 24,
    faults: [0, 2],
    spanS: 45,
    only: [
      'refused',
      'outage',
      'end',
      'end all',
      'back',
      'freeze',
      'cut',
      'zone cut',
      'late writes',
      'late reports',
      'deaf',
      'held orders',
      'slow state',
      'hang',
      'die',
      'mute',
      'lost answers',
      'kept reports',
      'cancel now',
      'cancel at end',
      'close looks',
      'odd requests',
    ],
    combinedFaults: [1, 3],
  },
  copies: {
    zones: [1, 3],
    nodes: [2, 5],
    machines: [2, 5],
    jobs: [6, 14],
    tasks: 24,
    faults: [4, 10],
    spanS: 60,
    only: [
      'repeated orders',
      'kept orders',
      'back',
      'end',
      'freeze',
      'outage',
      'refused',
      'cut',
      'hang',
      'sick',
      'taken',
      'held orders',
      'late reports',
      'mute',
      'cancel now',
    ],
    backMs: [50, 900],
  },
  middle: {
    zones: [1, 3],
    nodes: [2, 6],
    machines: [4, 20],
    jobs: [1, 20],
    tasks: 80,
    faults: [0, 8],
    spanS: 90,
  },
  fleet: {
    zones: [3, 3],
    nodes: [5, 6],
    machines: [120, 400],
    jobs: [20, 60],
    tasks: 200,
    faults: [1, 6],
    spanS: 100,
  },
};
