/**
 * Scenarios: what happens in a simulated run. A RECORDED FORMAT: `explore` prints field names and literals
 * and reads them with `--day` (`scenario-file.ts`), and those of faults are part of the digests of runs
 * (`FaultInjector`). They never change, even where the glossary has another term: `deaf` and `mute` are
 * one-way partitions, `reports` heartbeats, `orders` commands, `siblings` peers, `state` the key-value store.
 */
import type { Loss } from './data-loss.ts';
import type { PartitionMode } from './network.ts';

/** What a partition separates a controller from. */
export type PartitionFrom =
  'all' | 'state' | 'workers' | 'siblings' | 'cloud' | 'users' | 'state and siblings';

/**
 * A fault of a scenario. It begins `atS` virtual seconds after the warm-up and lasts for `forS`. Numbers and
 * shares stand for hosts, which `FaultTargets` resolves.
 */
export type Fault = { atS: number; forS: number } & (
  | { kind: 'end'; node: number }
  /** All controllers (`end`: one controller) end and restart. */
  | { kind: 'end all' }
  /** The controllers restart one after another, at intervals of `gapS`. */
  | { kind: 'rolling'; gapS: number }
  /** One controller (null: all) ends `times` times in a row, and restarts after `backMs` each time. */
  | { kind: 'back'; node: number | null; times: number; backMs: number }
  /** A copy of that share of messages arrives later. */
  | { kind: 'repeats'; share: number }
  /** One controller's process is paused while its clocks run on. */
  | { kind: 'freeze'; node: number }
  /** The key-value store is unavailable to all controllers. */
  | { kind: 'outage' }
  /** The key-value store is unavailable to the present process of one controller. */
  | { kind: 'refused'; node: number }
  /** That share of transactions gets no answer and is applied up to 30 s later. */
  | { kind: 'late transactions'; share: number }
  /** That share of transactions gets no answer. Each is applied 2 to 12 s later, mostly after newer ones. */
  | { kind: 'late writes'; share: number }
  /** A copy of that share of heartbeats arrives up to `LATE_HEARTBEAT_LEASES` worker leases later. */
  | { kind: 'late reports'; share: number }
  /**
   * One-way partition: heartbeats of that share of machines arrive, but answers and commands to these
   * machines do not (`zone` null: any zone).
   */
  | { kind: 'deaf'; share: number; zone: number | null }
  /**
   * One-way partition: that share of machines reaches no controller, but commands reach these machines
   * (`zone` null: any zone).
   */
  | { kind: 'mute'; share: number; zone: number | null }
  /** That share of transactions is applied at once, and only the answer is lost. */
  | { kind: 'lost answers'; share: number }
  /**
   * A copy of that share of heartbeats is recorded and replayed to every controller when a shard has a new
   * leader.
   */
  | { kind: 'kept reports'; share: number }
  /**
   * Users cancel `count` jobs with long tasks within a fifth of a second. Some machines of these jobs hang
   * for `hangS`.
   */
  | { kind: 'cancel now'; count: number; hangS: number }
  /** Users cancel that share of jobs at the moment when the last task of the job ends. */
  | { kind: 'cancel at end'; share: number }
  /** Users query all controllers right after an answer first reported a job as accepted or ended. */
  | { kind: 'close looks' }
  /**
   * Users repeat submissions, cancel jobs that are done, and submit jobs that are malformed or can never run.
   */
  | { kind: 'odd requests' }
  /** That share of commands and answers to workers is delayed, each independently of the others. */
  | { kind: 'held orders'; share: number }
  /** A copy of that share of executed direct commands arrives up to `COMMAND_COPY_LEASES` worker leases later. */
  | { kind: 'repeated orders'; share: number }
  /**
   * A copy of that share of executed direct commands is recorded and replayed to its machine when a controller
   * is back or a shard has a new leader.
   */
  | { kind: 'kept orders'; share: number }
  /** Answers of the key-value store take up to `mostMs` longer. */
  | { kind: 'slow state'; mostMs: number }
  /** The cloud answers every call with 503. */
  | { kind: 'cloud outage' }
  /** That share of rentals and returns gets no answer and takes effect up to 20 s later. */
  | { kind: 'late cloud'; share: number }
  /** Partition between one controller and the hosts that `from` names. */
  | {
      kind: 'cut';
      node: number;
      from: PartitionFrom;
      mode: PartitionMode;
    }
  /** Partition between a zone and all hosts outside it. */
  | { kind: 'zone cut'; zone: number; mode: PartitionMode }
  /** Partition between two zones; no effect if both numbers stand for the same zone. */
  | { kind: 'zones apart'; zone: number; other: number; mode: PartitionMode }
  /** Workers on that share of machines hang, each for a random time below `forS`. */
  | { kind: 'hang'; share: number }
  /** That share of machines crashes. */
  | { kind: 'die'; share: number }
  /** Every task that starts on that share of machines fails. */
  | { kind: 'sick'; share: number }
  /** The cloud preempts that share of spot machines. */
  | { kind: 'taken'; share: number; noticeS: number }
  /** Machines take `factor` times as long to boot. */
  | { kind: 'slow boots'; factor: number }
  /** No rental of machines succeeds. */
  | { kind: 'no capacity' }
  /** The key-value store loses data. */
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
  /**
   * Factor of the cloud's capacity: of each machine type in each zone, the cloud has `machines` times this
   * factor plus two ordinary machines, and as many spot machines.
   */
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
