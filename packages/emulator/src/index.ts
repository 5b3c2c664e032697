export { Cluster, type Deployment, silentLog } from './cluster.ts';
export { type Scenario as Day, type Fault } from './scenario.ts';
export { type RunOutcome as Outcome, runScenario as playDay } from './simulated-run.ts';
export type { Rule, Violation } from './invariant-checker.ts';
export { type PartitionMode as CutMode } from './network.ts';
export { HostClock, VirtualTime } from './time.ts';
