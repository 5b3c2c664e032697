import type { Random } from '@onyxkeel/scheduler';
import type { Cluster } from './cluster.ts';
import {
  BACK_GAP_MS,
  CANCEL_HANGS_MOST,
  CANCEL_NOW_MS,
  LONG_TO_GO_S,
  LATE_REPORT_LEASES,
  RESTART_MS,
  ROLLING_MS,
  START_MS,
} from './constants.ts';
import type { CutFrom, Fault } from './day.ts';
import type { Host } from './network.ts';
import { OddRequests } from './odd-requests.ts';
import type { Worker } from './worker.ts';

/** Faults of a day, each begun and ended at its time. What overlaps is counted, so that an end ends its own only. */
export class Faults {
  private readonly ends: (() => void)[] = [];
  private outages = 0;
  private readonly refusals = new Map<number, number>();
  private readonly odd: OddRequests;

  constructor(
    private readonly cluster: Cluster,
    private readonly random: Random,
  ) {
    const { time, users, judge, workload } = cluster;
    this.odd = new OddRequests({ time, random, users, judge, workload });
  }

  /** Sets a fault up to begin at its time, counted from `fromMs`. */
  plan(fault: Fault, fromMs: number): void {
    if (fault.kind === 'lose') this.cluster.state.keepCopies();
    this.cluster.time.at(fromMs + fault.atS * 1000, () => this.begin(fault));
  }

  /** When the last effect of a fault that its `forS` does not name is over: the restart of what it ended. */
  static overS(fault: Fault, nodes: number): number {
    if (fault.kind === 'back') return fault.atS + (fault.times * (fault.backMs + BACK_GAP_MS)) / 1000;
    if (fault.kind === 'rolling') return fault.atS + fault.gapS * nodes + (ROLLING_MS + RESTART_MS) / 1000;
    return fault.atS + fault.forS + RESTART_MS / 1000;
  }

  /** Ends all that still goes on, and brings back what has ended. */
  clear(): void {
    for (const end of this.ends.splice(0)) end();
    for (let node = 0; node < this.cluster.deployment.nodes.length; node++) this.cluster.start(node);
  }

  private begin(fault: Fault): void {
    this.cluster.judge.note(`fault ${JSON.stringify(fault)}`);
    const undo = this.carryOut(fault);
    if (!undo) return;
    let ended = false;
    const end = (): void => {
      if (ended) return;
      ended = true;
      undo();
    };
    this.ends.push(end);
    this.cluster.time.after(fault.forS * 1000, end);
  }

  /** Begins the fault; returns what ends it, if anything does. */
  private carryOut(fault: Fault): (() => void) | null {
    const { cluster } = this;
    const { cloud, state, deployment } = cluster;
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
        cluster.network.repeatShare = fault.share;
        return () => (cluster.network.repeatShare = 0);
      case 'freeze':
        cluster.freeze(nodeOf(fault.node), fault.forS * 1000);
        return null;
      case 'outage':
        if (this.outages++ === 0) state.setOutage(true);
        return () => {
          if (--this.outages === 0) state.setOutage(false);
        };
      case 'refused':
        return this.refuse(nodeOf(fault.node));
      case 'late transactions':
        state.lateShare = fault.share;
        return () => (state.lateShare = 0);
      case 'late writes':
        state.lateWrites = fault.share;
        return () => (state.lateWrites = 0);
      case 'late reports':
        cluster.network.lateReports = {
          share: fault.share,
          withinMs: deployment.leaseS * 1000 * LATE_REPORT_LEASES,
        };
        return () => (cluster.network.lateReports = { share: 0, withinMs: 0 });
      case 'deaf':
        return this.deafen(fault.share, fault.zone);
      case 'mute': {
        const mute = this.hostsOf(fault.share, fault.zone);
        return cluster.network.muteCalls((a, b) => mute.has(a) && b.kind === 'node');
      }
      case 'lost answers':
        state.lostAnswers = fault.share;
        return () => (state.lostAnswers = 0);
      case 'kept reports':
        cluster.network.keptShare = fault.share;
        return () => (cluster.network.keptShare = 0);
      case 'cancel now':
        this.cancelNow(fault.count, fault.hangS);
        return null;
      case 'cancel at end':
        cluster.judge.onAllDone = (id): void => {
          if (this.random.below(1000) < fault.share * 1000) void cluster.users.cancelIfAccepted(id);
        };
        return () => (cluster.judge.onAllDone = () => {});
      case 'close looks':
        cluster.users.closeLooks = true;
        return () => (cluster.users.closeLooks = false);
      case 'odd requests':
        this.odd.begin(cluster.time.now + fault.forS * 1000);
        return null;
      case 'held orders':
        cluster.network.heldOrders = fault.share;
        return () => (cluster.network.heldOrders = 0);
      case 'slow state':
        state.slowMs = fault.mostMs;
        return () => (state.slowMs = 0);
      case 'cloud outage':
        cloud.outage = true;
        return () => (cloud.outage = false);
      case 'late cloud':
        cloud.lateShare = fault.share;
        return () => (cloud.lateShare = 0);
      case 'cut':
        return cluster.network.cut(fault.mode, this.around(nodeOf(fault.node), fault.from));
      case 'zone cut': {
        const zone = this.zone(fault.zone);
        return cluster.network.cut(fault.mode, (a, b) => a.zone === zone && b.zone !== zone);
      }
      case 'zones apart': {
        const [one, other] = [this.zone(fault.zone), this.zone(fault.other)];
        if (one === other) return null;
        return cluster.network.cut(fault.mode, (a, b) => a.zone === one && b.zone === other);
      }
      case 'hang':
        for (const w of this.some(fault.share)) {
          w.host.clock.frozenUntil = cluster.time.now + this.random.below(fault.forS * 1000);
        }
        return null;
      case 'die':
        for (const w of this.some(fault.share)) cloud.die(w.id);
        return null;
      case 'sick': {
        const sick = this.some(fault.share);
        for (const w of sick) w.faulty = true;
        return () => sick.forEach((w) => (w.faulty = false));
      }
      case 'taken':
        for (const w of this.some(fault.share, true)) {
          if (fault.noticeS > 0) w.notice(fault.noticeS);
          cluster.time.after(fault.noticeS * 500 + this.random.below(1000 * fault.noticeS + 1), () =>
            cloud.take(w.id),
          );
        }
        return null;
      case 'slow boots':
        cloud.bootFactor = fault.factor;
        return () => (cloud.bootFactor = 1);
      case 'lose':
        cluster.lose(fault.loss);
        return null;
      case 'no capacity':
        cloud.dry = true;
        return () => (cloud.dry = false);
    }
  }

  /** Ends the node and has it back after so long, several times in a row. */
  private endAgain(node: number, times: number, backMs: number): void {
    this.cluster.end(node);
    this.cluster.time.after(backMs, () => {
      this.cluster.start(node, this.random.below(START_MS));
      if (times > 1)
        this.cluster.time.after(this.random.below(BACK_GAP_MS), () => this.endAgain(node, times - 1, backMs));
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
      if (host) this.cluster.state.setRefused(host, refused);
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
    return this.cluster.network.loseOneWay((a, b) => a.kind === 'node' && deaf.has(b));
  }

  /** Some of the machines that are up, of all or of a zone. */
  private hostsOf(share: number, zone: number | null): Set<Host> {
    const some = this.some(share).filter((w) => zone === null || w.machine.zone === this.zone(zone));
    return new Set(some.map((w) => w.host));
  }

  /** Users call off jobs that run and have long to go, within a fifth of a second; some of their machines hang. */
  private cancelNow(count: number, hangS: number): void {
    const { judge, users, workload, workers, time } = this.cluster;
    const long = [...workload.values()].filter(
      (work) => judge.running(work.spec.id).length > 0 && work.runS(0) >= LONG_TO_GO_S,
    );
    const jobs = long.slice(0, count).map(({ spec }) => spec.id);
    for (const id of jobs) {
      time.after(this.random.below(CANCEL_NOW_MS), () => void users.cancelIfAccepted(id));
    }
    if (hangS <= 0) return;
    const theirs = [...workers.values()].filter((w) => w.jobsOn().some((id) => jobs.includes(id)));
    for (const w of theirs.slice(0, CANCEL_HANGS_MOST)) w.host.clock.frozenUntil = time.now + hangS * 1000;
  }

  private zone(zone: number): string {
    const { zones } = this.cluster.deployment;
    return zones[zone % zones.length] ?? '';
  }

  private around(node: number, from: CutFrom): (a: Host, b: Host) => boolean {
    const name = `node-${String(node)}`;
    const far: Record<CutFrom, Host['kind'][] | null> = {
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
