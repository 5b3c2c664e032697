/**
 * Scenarios: what happens in a simulated run. A RECORDED FORMAT: field names and literals are read from `--day` and
 * printed for it (`scenario-file.ts`), and a fault's go into the digests of runs (`FaultInjector`). They stay as they are,
 * also where the glossary has another term: `deaf` and `mute` are one-way partitions, `reports` heartbeats, `orders`
 * commands, `siblings` peers, `state` the key-value store.
 */
import type { Loss } from './data-loss.ts';
import type { PartitionMode } from './network.ts';

/** What a partition separates a controller from. */
export type PartitionFrom =
  'all' | 'state' | 'workers' | 'siblings' | 'cloud' | 'users' | 'state and siblings';

/**
 * What goes wrong in a scenario, and when: it begins at `atS` and goes on for `forS`, in virtual seconds. Hosts are named
 * by numbers and shares, which the cluster at hand resolves (`FaultTargets`).
 */
export type Fault = { atS: number; forS: number } & (
  | { kind: 'end'; node: number }
  | { kind: 'end all' }
  | { kind: 'rolling'; gapS: number }
  /** One controller (null: all) ends so many times in a row, and is back each time after so many milliseconds. */
  | { kind: 'back'; node: number | null; times: number; backMs: number }
  /** Share of messages of which a copy comes again, late. */
  | { kind: 'repeats'; share: number }
  | { kind: 'freeze'; node: number }
  | { kind: 'outage' }
  | { kind: 'refused'; node: number }
  | { kind: 'late transactions'; share: number }
  /** That share of transactions gets no answer and is applied after newer ones. */
  | { kind: 'late writes'; share: number }
  /** Of that share of heartbeats a copy comes again, up to some worker leases later. */
  | { kind: 'late reports'; share: number }
  /** One-way partition: machines' heartbeats arrive, answers and commands to them do not (`zone` null: any zone). */
  | { kind: 'deaf'; share: number; zone: number | null }
  /** One-way partition: machines reach no controller, commands reach the machines (`zone` null: any zone). */
  | { kind: 'mute'; share: number; zone: number | null }
  /** That share of transactions is applied at once, and only the answer is lost. */
  | { kind: 'lost answers'; share: number }
  /** Of that share of heartbeats a copy is recorded, and comes to every controller when a shard has a new leader. */
  | { kind: 'kept reports'; share: number }
  /** So many jobs with long tasks are cancelled within a fifth of a second; some of their machines hang for `hangS`. */
  | { kind: 'cancel now'; count: number; hangS: number }
  /** That share of jobs is cancelled at the moment at which the last task ends. */
  | { kind: 'cancel at end'; share: number }
  /** Users query all controllers, repeatedly, right after they learnt something new of a job. */
  | { kind: 'close looks' }
  /** Users repeat submissions, cancel jobs that are done, and submit what is malformed or can never run. */
  | { kind: 'odd requests' }
  /** That share of commands and answers to workers is delayed, each independently of the others. */
  | { kind: 'held orders'; share: number }
  /** Answers of the key-value store take up to so many milliseconds more. */
  | { kind: 'slow state'; mostMs: number }
  | { kind: 'cloud outage' }
  | { kind: 'late cloud'; share: number }
  | {
      kind: 'cut';
      node: number;
      from: PartitionFrom;
      mode: PartitionMode;
    }
  | { kind: 'zone cut'; zone: number; mode: PartitionMode }
  | { kind: 'zones apart'; zone: number; other: number; mode: PartitionMode }
  | { kind: 'hang'; share: number }
  | { kind: 'die'; share: number }
  | { kind: 'sick'; share: number }
  | { kind: 'taken'; share: number; noticeS: number }
  | { kind: 'slow boots'; factor: number }
  | { kind: 'no capacity' }
  | { kind: 'lose'; loss: Loss }
);

/** A job of a scenario; times in virtual seconds from the end of the warm-up. */
export interface ScenarioJob {
  atS: number;
  team: number;
  tasks: number;
  cores: number;
  /** Seconds that its tasks run, about. */
  runS: number;
  priority: number;
  /** Where its tasks may run. */
  rule: 'any' | 'one zone' | 'spread' | 'a zone' | 'a type';
  spot: boolean;
  checkpoint: boolean;
  service: boolean;
  /** Its tasks fail wherever they run. */
  broken: boolean;
  /** Seconds from its submission to its cancellation, or null. */
  cancelAfterS: number | null;
  /** Seconds from its submission until its user submits it once more, or null. */
  againAfterS: number | null;
}

/** What happens in a simulated run: its deployment, its jobs and its faults. */
export interface Scenario {
  /** Of the run's own random numbers. */
  seed: number;
  zones: number;
  nodes: number;
  /** Machines up at the start in each zone. */
  machines: number;
  /** Machines that the cloud has for each of them. */
  capacity: number;
  /** 0: heartbeats every 2.5 s and worker leases of 16 s; 1: 5 s and 31 s; as the fleet's two deployments. */
  pace: 0 | 1;
  /** CPUs at most of each team; 0: no limit. */
  teamLimits: number[];
  jobs: ScenarioJob[];
  faults: Fault[];
}
