/**
 * Scenarios: what happens in a simulated run. A RECORDED FORMAT: `explore` prints field names and literals
 * and reads them with `--day` (`scenario-file.ts`), and those of faults are part of the digests of runs
 * (`FaultInjector`). They never change, also where the glossary has another term: `deaf` and `mute` are
 * one-way partitions, `reports` heartbeats, `orders` commands, `siblings` peers, `state` the key-value store.
 */
import type { Loss } from './data-loss.ts';
import type { PartitionMode } from './network.ts';

/** What a partition separates a controller from. */
export type PartitionFrom =
  'all' | 'state' | 'workers' | 'siblings' | 'cloud' | 'users' | 'state and siblings';

/**
 * A fault of a scenario: it begins at `atS` and lasts for `forS`, in virtual seconds. Numbers and shares
 * stand for hosts; `FaultTargets` resolves them.
 */
export type Fault = { atS: number; forS: number } & (
  | { kind: 'end'; node: number }
  | { kind: 'end all' }
  | { kind: 'rolling'; gapS: number }
  /** One controller (null: all) ends `times` times in a row, and restarts after `backMs` each time. */
  | { kind: 'back'; node: number | null; times: number; backMs: number }
  /** Of that share of messages, a copy arrives later. */
  | { kind: 'repeats'; share: number }
  | { kind: 'freeze'; node: number }
  | { kind: 'outage' }
  | { kind: 'refused'; node: number }
  | { kind: 'late transactions'; share: number }
  /** That share of transactions gets no answer and is applied after newer ones. */
  | { kind: 'late writes'; share: number }
  /** Of that share of heartbeats, a copy arrives up to some worker leases later. */
  | { kind: 'late reports'; share: number }
  /**
   * One-way partition: machines' heartbeats arrive, answers and commands to them do not (`zone` null: any
   * zone).
   */
  | { kind: 'deaf'; share: number; zone: number | null }
  /** One-way partition: machines reach no controller, commands reach the machines (`zone` null: any zone). */
  | { kind: 'mute'; share: number; zone: number | null }
  /** That share of transactions is applied at once, and only the answer is lost. */
  | { kind: 'lost answers'; share: number }
  /**
   * Of that share of heartbeats, a copy is recorded and replayed to every controller when a shard has a new
   * leader.
   */
  | { kind: 'kept reports'; share: number }
  /**
   * Users cancel `count` jobs with long tasks within a fifth of a second; some of their machines hang for
   * `hangS`.
   */
  | { kind: 'cancel now'; count: number; hangS: number }
  /** Users cancel that share of jobs at the moment at which the last task ends. */
  | { kind: 'cancel at end'; share: number }
  /** Users query all controllers, repeatedly, right after an answer reported a new state of a job. */
  | { kind: 'close looks' }
  /**
   * Users repeat submissions, cancel jobs that are done, and submit jobs that are malformed or can never run.
   */
  | { kind: 'odd requests' }
  /** That share of commands and answers to workers is delayed, each independently of the others. */
  | { kind: 'held orders'; share: number }
  /** Answers of the key-value store take up to `mostMs` longer. */
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
  /** Approximate seconds that each of its tasks runs. */
  runS: number;
  priority: number;
  /** Where its tasks may run. */
  rule: 'any' | 'one zone' | 'spread' | 'a zone' | 'a type';
  spot: boolean;
  checkpoint: boolean;
  service: boolean;
  /** Whether its tasks fail on every machine. */
  broken: boolean;
  /** Seconds from its submission to its cancellation, or null. */
  cancelAfterS: number | null;
  /** Seconds from its submission until its user submits it once more, or null. */
  againAfterS: number | null;
}

/** What happens in a simulated run: its deployment, its jobs and its faults. */
export interface Scenario {
  /** Seed of the run's random numbers. */
  seed: number;
  zones: number;
  nodes: number;
  /** Machines up at the start in each zone. */
  machines: number;
  /** Machines that the cloud has for each machine that is up at the start. */
  capacity: number;
  /**
   * 0: heartbeats every 2.5 s and worker leases of 16 s; 1: 5 s and 31 s. These are the fleet's two
   * deployments.
   */
  pace: 0 | 1;
  /** Quota of each team in CPUs; 0: unlimited. */
  teamLimits: number[];
  jobs: ScenarioJob[];
  faults: Fault[];
}
