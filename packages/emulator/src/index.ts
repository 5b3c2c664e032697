export { Cluster, type Deployment, silentLog } from './cluster.ts';
export { type Day, type Fault } from './day.ts';
export { type Outcome, playDay } from './play.ts';
export type { Rule, Violation } from './judge.ts';
export { type CutMode } from './network.ts';
export { HostClock, VirtualTime } from './time.ts';
