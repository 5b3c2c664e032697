/**
 * The emulator's public API: the outside systems in virtual time, and simulated runs of scenarios on them.
 */
export { Cluster, silentLog } from './cluster.ts';
export type { Deployment } from './deployment.ts';
export type { Rule, Violation } from './invariant-rules.ts';
export { type PartitionMode } from './network.ts';
export { type Fault, type Scenario } from './scenario.ts';
export { type RunOutcome, runScenario } from './simulated-run.ts';
export { HostClock, VirtualTime } from './time.ts';
