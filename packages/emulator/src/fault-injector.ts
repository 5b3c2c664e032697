import type { Random } from '@onyxkeel/scheduler';
import type { Cluster } from './cluster.ts';
import {
  CRASH_GAP_MS,
  CANCEL_HANGS_MAX,
  CANCEL_TOGETHER_MS,
  LONG_TASK_S,
  LATE_HEARTBEAT_LEASES,
  RESTART_MS,
  ROLLING_MS,
  START_MS,
} from './constants.ts';
import type { PartitionFrom, Fault } from './scenario.ts';
import type { Host } from './network.ts';
import { OddRequests } from './odd-requests.ts';
import type { Worker } from './worker.ts';

/** Faults of a day, each begun and ended at its time. What overlaps is counted, so that an end ends its own only. */
export class FaultInjector {
  private readonly undoers: (() => void)[] = [];
  private outages = 0;
  private readonly refusals = new Map<number, number>();
  private readonly oddRequests: OddRequests;

  constructor(
    private readonly cluster: Cluster,
    private readonly random: Random,
  ) {
    const { time, users, checker, workload } = cluster;
    this.oddRequests = new OddRequests({ time, random, users, checker, workload });
  }

  /** Sets a fault up to begin at its time, counted from `fromMs`. */
  plan(fault: Fault, fromMs: number): void {
    if (fault.kind === 'lose') this.cluster.store.keepSnapshots();
    this.cluster.time.at(fromMs + fault.atS * 1000, () => this.begin(fault));
  }

  /** When the last effect of a fault that its `forS` does not name is over: the restart of what it ended. */
  static endS(fault: Fault, nodes: number): number {
    if (fault.kind === 'back') return fault.atS + (fault.times * (fault.backMs + CRASH_GAP_MS)) / 1000;
    if (fault.kind === 'rolling') return fault.atS + fault.gapS * nodes + (ROLLING_MS + RESTART_MS) / 1000;
    return fault.atS + fault.forS + RESTART_MS / 1000;
  }

  /** Ends all that still goes on, and brings back what has ended. */
  clear(): void {
    for (const end of this.undoers.splice(0)) end();
    for (let node = 0; node < this.cluster.deployment.nodes.length; node++) this.cluster.start(node);
  }

  private begin(fault: Fault): void {
    this.cluster.checker.record(`fault ${JSON.stringify(fault)}`);
    const undo = this.carryOut(fault);
    if (!undo) return;
    let ended = false;
    const end = (): void => {
      if (ended) return;
      ended = true;
      undo();
    };
    this.undoers.push(end);
    this.cluster.time.after(fault.forS * 1000, end);
  }

  /** Begins the fault; returns what ends it, if anything does. */
  private carryOut(fault: Fault): (() => void) | null {
    const { cluster } = this;
    const { cloud, store, deployment } = cluster;
    const nodeOf = (node: number): number => node % deployment.nodes.length;
    switch (fault.kind) {
      case 'end':
        this.endNode(nodeOf(fault.node), RESTART_MS + fault.forS * 200);
        return null;
      case 'end all':
        for (let n = 0; n < deployment.nodes.length; n++)
          this.endNode(n, RESTART_MS + this.random.below(1500));
        return null;
      case 'rolling':
        for (let n = 0; n < deployment.nodes.length; n++) {
          cluster.time.after(n * fault.gapS * 1000, () => this.endNode(n, ROLLING_MS));
        }
        return null;
      case 'back':
        for (let n = 0; n < deployment.nodes.length; n++)
          if (fault.node === null || n === nodeOf(fault.node)) this.endAgain(n, fault.times, fault.backMs);
        return null;
      case 'repeats':
        cluster.network.duplicateShare = fault.share;
        return () => (cluster.network.duplicateShare = 0);
      case 'freeze':
        cluster.freeze(nodeOf(fault.node), fault.forS * 1000);
        return null;
      case 'outage':
        if (this.outages++ === 0) store.setOutage(true);
        return () => {
          if (--this.outages === 0) store.setOutage(false);
        };
      case 'refused':
        return this.refuse(nodeOf(fault.node));
      case 'late transactions':
        store.lateTransactionShare = fault.share;
        return () => (store.lateTransactionShare = 0);
      case 'late writes':
        store.lateWriteShare = fault.share;
        return () => (store.lateWriteShare = 0);
      case 'late reports':
        cluster.network.lateHeartbeats = {
          share: fault.share,
          withinMs: deployment.leaseS * 1000 * LATE_HEARTBEAT_LEASES,
        };
        return () => (cluster.network.lateHeartbeats = { share: 0, withinMs: 0 });
      case 'deaf':
        return this.deafen(fault.share, fault.zone);
      case 'mute': {
        const mute = this.hostsOf(fault.share, fault.zone);
        return cluster.network.hangCalls((a, b) => mute.has(a) && b.kind === 'node');
      }
      case 'lost answers':
        store.lostAnswerShare = fault.share;
        return () => (store.lostAnswerShare = 0);
      case 'kept reports':
        cluster.network.recordedHeartbeatShare = fault.share;
        return () => (cluster.network.recordedHeartbeatShare = 0);
      case 'cancel now':
        this.cancelNow(fault.count, fault.hangS);
        return null;
      case 'cancel at end':
        cluster.checker.onAllTasksDone = (id): void => {
          if (this.random.below(1000) < fault.share * 1000) void cluster.users.cancelIfAccepted(id);
        };
        return () => (cluster.checker.onAllTasksDone = () => {});
      case 'close looks':
        cluster.users.queriesAllNodes = true;
        return () => (cluster.users.queriesAllNodes = false);
      case 'odd requests':
        this.oddRequests.begin(cluster.time.now + fault.forS * 1000);
        return null;
      case 'held orders':
        cluster.network.delayedCommandShare = fault.share;
        return () => (cluster.network.delayedCommandShare = 0);
      case 'slow state':
        store.extraLatencyMs = fault.mostMs;
        return () => (store.extraLatencyMs = 0);
      case 'cloud outage':
        cloud.hasOutage = true;
        return () => (cloud.hasOutage = false);
      case 'late cloud':
        cloud.lateShare = fault.share;
        return () => (cloud.lateShare = 0);
      case 'cut':
        return cluster.network.startPartition(fault.mode, this.around(nodeOf(fault.node), fault.from));
      case 'zone cut': {
        const zone = this.zone(fault.zone);
        return cluster.network.startPartition(fault.mode, (a, b) => a.zone === zone && b.zone !== zone);
      }
      case 'zones apart': {
        const [one, other] = [this.zone(fault.zone), this.zone(fault.other)];
        if (one === other) return null;
        return cluster.network.startPartition(fault.mode, (a, b) => a.zone === one && b.zone === other);
      }
      case 'hang':
        for (const w of this.some(fault.share)) {
          w.host.clock.frozenUntil = cluster.time.now + this.random.below(fault.forS * 1000);
        }
        return null;
      case 'die':
        for (const w of this.some(fault.share)) cloud.crash(w.id);
        return null;
      case 'sick': {
        const sick = this.some(fault.share);
        for (const w of sick) w.failsAllTasks = true;
        return () => sick.forEach((w) => (w.failsAllTasks = false));
      }
      case 'taken':
        for (const w of this.some(fault.share, true)) {
          if (fault.noticeS > 0) w.announcePreemption(fault.noticeS);
          cluster.time.after(fault.noticeS * 500 + this.random.below(1000 * fault.noticeS + 1), () =>
            cloud.remove(w.id),
          );
        }
        return null;
      case 'slow boots':
        cloud.bootFactor = fault.factor;
        return () => (cloud.bootFactor = 1);
      case 'lose':
        cluster.loseData(fault.loss);
        return null;
      case 'no capacity':
        cloud.isOutOfCapacity = true;
        return () => (cloud.isOutOfCapacity = false);
    }
  }

  /** Ends the node and has it back after so long, several times in a row. */
  private endAgain(node: number, times: number, backMs: number): void {
    this.cluster.end(node);
    this.cluster.time.after(backMs, () => {
      this.cluster.start(node, this.random.below(START_MS));
      if (times > 1)
        this.cluster.time.after(this.random.below(CRASH_GAP_MS), () =>
          this.endAgain(node, times - 1, backMs),
        );
    });
  }

  private endNode(node: number, backMs: number): void {
    this.cluster.end(node);
    this.cluster.time.after(backMs, () => this.cluster.start(node));
  }

  private refuse(node: number): () => void {
    // By place and not by process: a restart does not help it.
    const set = (refused: boolean): void => {
      const host = this.cluster.host(node);
      if (host) this.cluster.store.setRefused(host, refused);
    };
    this.refusals.set(node, (this.refusals.get(node) ?? 0) + 1);
    set(true);
    return () => {
      const left = (this.refusals.get(node) ?? 1) - 1;
      this.refusals.set(node, left);
      if (left === 0) set(false);
    };
  }

  /** The machines' reports arrive; answers and orders to them are lost. */
  private deafen(share: number, zone: number | null): () => void {
    const deaf = this.hostsOf(share, zone);
    return this.cluster.network.dropOneWay((a, b) => a.kind === 'node' && deaf.has(b));
  }

  /** Some of the machines that are up, of all or of a zone. */
  private hostsOf(share: number, zone: number | null): Set<Host> {
    const some = this.some(share).filter((w) => zone === null || w.machine.zone === this.zone(zone));
    return new Set(some.map((w) => w.host));
  }

  /** Users call off jobs that run and have long to go, within a fifth of a second; some of their machines hang. */
  private cancelNow(count: number, hangS: number): void {
    const { checker, users, workload, workers, time } = this.cluster;
    const long = [...workload.values()].filter(
      (work) => checker.runningTasks(work.spec.id).length > 0 && work.runS(0) >= LONG_TASK_S,
    );
    const jobs = long.slice(0, count).map(({ spec }) => spec.id);
    for (const id of jobs) {
      time.after(this.random.below(CANCEL_TOGETHER_MS), () => void users.cancelIfAccepted(id));
    }
    if (hangS <= 0) return;
    const theirs = [...workers.values()].filter((w) => w.jobsOn().some((id) => jobs.includes(id)));
    for (const w of theirs.slice(0, CANCEL_HANGS_MAX)) w.host.clock.frozenUntil = time.now + hangS * 1000;
  }

  private zone(zone: number): string {
    const { zones } = this.cluster.deployment;
    return zones[zone % zones.length] ?? '';
  }

  private around(node: number, from: PartitionFrom): (a: Host, b: Host) => boolean {
    const name = `node-${String(node)}`;
    const far: Record<PartitionFrom, Host['kind'][] | null> = {
      all: null,
      state: ['state'],
      workers: ['worker'],
      siblings: ['node'],
      cloud: ['cloud'],
      users: ['users'],
      'state and siblings': ['state', 'node'],
    };
    const kinds = far[from];
    return (a, b) => a.name === name && b.name !== name && (kinds?.includes(b.kind) ?? true);
  }

  /** Some of the machines that are up. */
  private some(share: number, spotOnly = false): Worker[] {
    const all = [...this.cluster.workers.values()].filter((w) => w.machine.spot || !spotOnly);
    return all.filter(() => this.random.below(1000) < share * 1000);
  }
}
