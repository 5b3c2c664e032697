/** One handler for each kind of fault, which applies the fault to the cluster. */
import type { Random } from '@onyxkeel/scheduler';
import type { Cluster } from './cluster.ts';
import {
  CANCEL_HANGS_MAX,
  CANCEL_TOGETHER_MS,
  COMMAND_COPY_LEASES,
  CRASH_GAP_MS,
  LATE_HEARTBEAT_LEASES,
  LONG_TASK_S,
  RESTART_MS,
  ROLLING_MS,
  START_MS,
} from './constants.ts';
import type { FaultTargets } from './fault-targets.ts';
import type { UnexpectedRequests } from './unexpected-requests.ts';
import type { Fault } from './scenario.ts';

/** Ends an active fault. */
export type Undo = () => void;

/** What handlers act on. Each run has its own context, as it counts active faults. */
export interface FaultContext {
  readonly cluster: Cluster;
  readonly random: Random;
  readonly targets: FaultTargets;
  readonly unexpectedRequests: UnexpectedRequests;
  /** Active outages of the key-value store. The store is available again when the last of them ends. */
  storeOutages: number;
  /** By controller: how many active faults of the kind `refused` concern it. */
  readonly refusals: Map<number, number>;
}

type FaultOf<Kind extends Fault['kind']> = Extract<Fault, { kind: Kind }>;
type FaultHandler<Each extends Fault> = (fault: Each, context: FaultContext) => Undo | null;

/** Begins the fault. Returns the function that ends it, or null if the fault has no end or ends by itself. */
export function beginFault(fault: Fault, context: FaultContext): Undo | null {
  // The handler of `fault.kind` takes faults of that kind, which its type can't express here.
  const handler = handlers[fault.kind] as FaultHandler<Fault>;
  return handler(fault, context);
}

const handlers: { readonly [Kind in Fault['kind']]: FaultHandler<FaultOf<Kind>> } = {
  end: (fault, context) => {
    endNode(context, context.targets.node(fault.node), RESTART_MS + fault.forS * 200);
    return null;
  },
  'end all': (_, context) => {
    for (const node of context.targets.allNodes)
      endNode(context, node, RESTART_MS + context.random.below(1500));
    return null;
  },
  rolling: (fault, context) => {
    for (const node of context.targets.allNodes) {
      context.cluster.time.after(node * fault.gapS * 1000, () => endNode(context, node, ROLLING_MS));
    }
    return null;
  },
  back: (fault, context) => {
    const nodes = fault.node === null ? context.targets.allNodes : [context.targets.node(fault.node)];
    for (const node of nodes) endNodeRepeatedly(context, node, fault);
    return null;
  },
  freeze: (fault, { cluster, targets }) => {
    cluster.freezeController(targets.node(fault.node), fault.forS * 1000);
    return null;
  },

  outage: (_, context) => beginStoreOutage(context),
  refused: (fault, context) => refuseNode(context, context.targets.node(fault.node)),
  'late transactions': ({ share }, { cluster: { store } }) => {
    store.lateTransactionShare = share;
    return () => (store.lateTransactionShare = 0);
  },
  'late writes': ({ share }, { cluster: { store } }) => {
    store.lateWriteShare = share;
    return () => (store.lateWriteShare = 0);
  },
  'lost answers': ({ share }, { cluster: { store } }) => {
    store.lostAnswerShare = share;
    return () => (store.lostAnswerShare = 0);
  },
  'slow state': ({ mostMs }, { cluster: { store } }) => {
    store.extraLatencyMs = mostMs;
    return () => (store.extraLatencyMs = 0);
  },
  lose: ({ loss }, { cluster }) => {
    cluster.loseData(loss);
    return null;
  },

  'cloud outage': (_, { cluster: { cloud } }) => {
    cloud.hasOutage = true;
    return () => (cloud.hasOutage = false);
  },
  'late cloud': ({ share }, { cluster: { cloud } }) => {
    cloud.lateShare = share;
    return () => (cloud.lateShare = 0);
  },
  'slow boots': ({ factor }, { cluster: { cloud } }) => {
    cloud.bootFactor = factor;
    return () => (cloud.bootFactor = 1);
  },
  'no capacity': (_, { cluster: { cloud } }) => {
    cloud.isOutOfCapacity = true;
    return () => (cloud.isOutOfCapacity = false);
  },

  cut: (fault, { cluster, targets }) =>
    cluster.network.startPartition(fault.mode, targets.linksOfNode(fault.node, fault.from)),
  'zone cut': (fault, { cluster, targets }) => {
    const zone = targets.zone(fault.zone);
    return cluster.network.startPartition(fault.mode, (a, b) => a.zone === zone && b.zone !== zone);
  },
  'zones apart': (fault, { cluster, targets }) => {
    const [one, other] = [targets.zone(fault.zone), targets.zone(fault.other)];
    if (one === other) return null;
    return cluster.network.startPartition(fault.mode, (a, b) => a.zone === one && b.zone === other);
  },
  repeats: ({ share }, { cluster: { network } }) => {
    network.copies.duplicateShare = share;
    return () => (network.copies.duplicateShare = 0);
  },
  'late reports': ({ share }, { cluster: { network, deployment } }) => {
    network.copies.heartbeats = { share, withinMs: deployment.leaseS * 1000 * LATE_HEARTBEAT_LEASES };
    return () => (network.copies.heartbeats = { share: 0, withinMs: 0 });
  },
  'kept reports': ({ share }, { cluster: { network } }) => {
    network.copies.recordedHeartbeatShare = share;
    return () => (network.copies.recordedHeartbeatShare = 0);
  },
  'held orders': ({ share }, { cluster: { network } }) => {
    network.delayedCommandShare = share;
    return () => (network.delayedCommandShare = 0);
  },
  'repeated orders': ({ share }, { cluster: { network, deployment } }) => {
    network.copies.commands = { share, withinMs: deployment.leaseS * 1000 * COMMAND_COPY_LEASES };
    return () => (network.copies.commands = { share: 0, withinMs: 0 });
  },
  'kept orders': ({ share }, { cluster: { network } }) => {
    network.copies.recordedCommandShare = share;
    return () => (network.copies.recordedCommandShare = 0);
  },
  deaf: (fault, { cluster, targets }) => {
    const deaf = targets.workerHosts(fault.share, fault.zone);
    return cluster.network.dropOneWay((from, to) => from.kind === 'node' && deaf.has(to));
  },
  mute: (fault, { cluster, targets }) => {
    const mute = targets.workerHosts(fault.share, fault.zone);
    return cluster.network.hangCalls((from, to) => mute.has(from) && to.kind === 'node');
  },

  hang: (fault, { cluster, random, targets }) => {
    for (const worker of targets.workers(fault.share)) {
      worker.host.clock.frozenUntil = cluster.time.now + random.below(fault.forS * 1000);
    }
    return null;
  },
  die: (fault, { cluster, targets }) => {
    for (const worker of targets.workers(fault.share)) cluster.cloud.crash(worker.id);
    return null;
  },
  sick: (fault, { targets }) => {
    const sick = targets.workers(fault.share);
    for (const worker of sick) worker.failsAllTasks = true;
    return () => sick.forEach((worker) => (worker.failsAllTasks = false));
  },
  taken: (fault, context) => {
    preemptSpotMachines(context, fault);
    return null;
  },

  'cancel now': (fault, context) => {
    cancelLongJobs(context, fault);
    return null;
  },
  'cancel at end': ({ share }, { cluster: { checker, users }, random }) => {
    checker.onAllTasksDone = (id): void => {
      if (random.below(1000) < share * 1000) void users.cancelIfAccepted(id);
    };
    return () => (checker.onAllTasksDone = () => {});
  },
  'close looks': (_, { cluster: { users } }) => {
    users.queriesAllNodes = true;
    return () => (users.queriesAllNodes = false);
  },
  'odd requests': (fault, { cluster, unexpectedRequests }) => {
    unexpectedRequests.begin(cluster.time.now + fault.forS * 1000);
    return null;
  },
};

/** Ends the controller's process and starts a new one after `backMs`. */
function endNode({ cluster }: FaultContext, node: number, backMs: number): void {
  cluster.killController(node);
  cluster.time.after(backMs, () => cluster.startController(node));
}

/** Ends the controller's process `times` times in a row and starts a new one after `backMs` each time. */
function endNodeRepeatedly(
  context: FaultContext,
  node: number,
  { times, backMs }: { times: number; backMs: number },
): void {
  const { cluster, random } = context;
  const endAgain = (): void => endNodeRepeatedly(context, node, { times: times - 1, backMs });
  cluster.killController(node);
  cluster.time.after(backMs, () => {
    cluster.startController(node, random.below(START_MS));
    if (times > 1) cluster.time.after(random.below(CRASH_GAP_MS), endAgain);
  });
}

function beginStoreOutage(context: FaultContext): Undo {
  const { store } = context.cluster;
  if (context.storeOutages++ === 0) store.setOutage(true);
  return () => {
    if (--context.storeOutages === 0) store.setOutage(false);
  };
}

/**
 * Makes the key-value store refuse the calls of the controller's process. A process that starts later is not
 * refused.
 */
function refuseNode({ cluster, refusals }: FaultContext, node: number): Undo {
  const setRefused = (refused: boolean): void => {
    const host = cluster.controllerHost(node);
    if (host) cluster.store.setRefused(host, refused);
  };
  refusals.set(node, (refusals.get(node) ?? 0) + 1);
  setRefused(true);
  return () => {
    const left = (refusals.get(node) ?? 1) - 1;
    refusals.set(node, left);
    if (left === 0) setRefused(false);
  };
}

/** Preempts spot machines. The cloud removes each after 0.5 to 1.5 times the notice, at random. */
function preemptSpotMachines(
  { cluster, random, targets }: FaultContext,
  { share, noticeS }: { share: number; noticeS: number },
): void {
  for (const worker of targets.spotWorkers(share)) {
    if (noticeS > 0) worker.announcePreemption(noticeS);
    const removeInMs = noticeS * 500 + random.below(1000 * noticeS + 1);
    cluster.time.after(removeInMs, () => cluster.cloud.remove(worker.id));
  }
}

/**
 * Users cancel running jobs with long tasks at nearly the same time. Some machines of these jobs hang for
 * `hangS`.
 */
function cancelLongJobs(
  { cluster, random }: FaultContext,
  { count, hangS }: { count: number; hangS: number },
): void {
  const { checker, users, workload, workers, time } = cluster;
  const longJobs = [...workload.values()].filter(
    (work) => checker.runningTasks(work.spec.id).length > 0 && work.runS(0) >= LONG_TASK_S,
  );
  const jobs = longJobs.slice(0, count).map(({ spec }) => spec.id);
  for (const id of jobs) {
    time.after(random.below(CANCEL_TOGETHER_MS), () => void users.cancelIfAccepted(id));
  }
  if (hangS <= 0) return;
  const affectedWorkers = [...workers.values()].filter((worker) =>
    worker.jobIds().some((id) => jobs.includes(id)),
  );
  for (const worker of affectedWorkers.slice(0, CANCEL_HANGS_MAX))
    worker.host.clock.frozenUntil = time.now + hangS * 1000;
}
