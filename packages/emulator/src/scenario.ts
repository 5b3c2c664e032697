import type { Loss } from './data-loss.ts';
import type { PartitionMode } from './network.ts';

/** What a controller may be cut off from. */
export type PartitionFrom =
  'all' | 'state' | 'workers' | 'siblings' | 'cloud' | 'users' | 'state and siblings';

/** What goes wrong on a day, and when; times in virtual seconds, hosts and shares resolved by the cluster at hand. */
export type Fault = { atS: number; forS: number } & (
  | { kind: 'end'; node: number }
  | { kind: 'end all' }
  | { kind: 'rolling'; gapS: number }
  /** One node (null: all) ends so many times in a row, and is back each time after so many milliseconds. */
  | { kind: 'back'; node: number | null; times: number; backMs: number }
  /** Share of messages of which a copy comes again, late. */
  | { kind: 'repeats'; share: number }
  | { kind: 'freeze'; node: number }
  | { kind: 'outage' }
  | { kind: 'refused'; node: number }
  | { kind: 'late transactions'; share: number }
  /** That share of transactions gets no answer and is carried out after newer ones. */
  | { kind: 'late writes'; share: number }
  /** Of that share of reports a copy comes again, up to some leases later. */
  | { kind: 'late reports'; share: number }
  /** Reports of machines arrive, and what they are told does not: some of all (`zone` null) or those of a zone. */
  | { kind: 'deaf'; share: number; zone: number | null }
  /** Workers' calls reach no controller, while orders reach the machines: some of all (`zone` null) or those of a zone. */
  | { kind: 'mute'; share: number; zone: number | null }
  /** That share of transactions is carried out at once, and only the answer is lost. */
  | { kind: 'lost answers'; share: number }
  /** Of that share of reports a copy is kept, and comes to every controller when a part has a new owner. */
  | { kind: 'kept reports'; share: number }
  /** So many jobs that run and have long to go are called off within a fifth of a second; some of their machines hang. */
  | { kind: 'cancel now'; count: number; hangS: number }
  /** That share of jobs is called off at the moment at which the last task ends. */
  | { kind: 'cancel at end'; share: number }
  /** Users ask at all controllers, again and again, right after they were told something new. */
  | { kind: 'close looks' }
  /** Users repeat submissions, cancel what is done, and send what is malformed or can never run. */
  | { kind: 'odd requests' }
  /** Orders and answers to workers are held up, each by itself. */
  | { kind: 'held orders'; share: number }
  /** Answers of the state service take up to so many milliseconds more. */
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

/** A job as a day draws it. */
export interface ScenarioJob {
  atS: number;
  team: number;
  tasks: number;
  cores: number;
  runS: number;
  priority: number;
  rule: 'any' | 'one zone' | 'spread' | 'a zone' | 'a type';
  spot: boolean;
  checkpoint: boolean;
  service: boolean;
  broken: boolean;
  cancelAfterS: number | null;
  againAfterS: number | null;
}

export interface Scenario {
  seed: number;
  zones: number;
  nodes: number;
  /** Machines up at the start in each zone, and how many the cloud has for each of them. */
  machines: number;
  capacity: number;
  /** 0: reports every 2.5 s and leases of 16 s; 1: 5 s and 31 s; as the fleet's two deployments. */
  pace: 0 | 1;
  /** CPUs at most of each team; 0: no limit. */
  teamLimits: number[];
  jobs: ScenarioJob[];
  faults: Fault[];
}
