import assert from 'node:assert/strict';
import type { JobSpec, Log } from '@onyxkeel/scheduler';
import { Cluster, silentLog } from '../src/cluster.ts';
import type { Deployment } from '../src/deployment.ts';
import { newWork, type Work } from '../src/workload.ts';

/** The machine type that most scenarios use. */
export const smallType = {
  name: 'small',
  cores: 8,
  ramGb: 32,
  localGb: 20,
  pullGbPerS: 1,
  price: 0.4,
  spotPrice: 0.1,
  bootS: 12,
};
/** Machines of the type `small` that are up from the start. */
export function smallMachines(count: number, zone = 'a'): Deployment['initial'][number] {
  return { type: 'small', zone, spot: false, count };
}
const large = { ...smallType, name: 'large', cores: 16, ramGb: 128, price: 0.8, spotPrice: 0.2 };

export const plainJob: JobSpec = {
  id: 'j-1',
  class: 'short',
  team: 'red',
  kind: 'batch',
  priority: 2,
  tasks: 4,
  cores: 2,
  accelerators: 0,
  ramGb: 4,
  image: 'img-1',
  imageGb: 0.5,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimateS: 5,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

/** Records the controllers' info log lines: the time in seconds, the node, the message and the fields. */
export class LogLines {
  readonly lines: { atS: number; node: string; message: string; fields: object }[] = [];
  now = (): number => 0;

  of = (node: string): Log => ({
    ...silentLog,
    info: (fields, message) => this.lines.push({ atS: this.now() / 1000, node, message, fields }),
  });

  /** The times in seconds, from `atS` on, at which lines with the message were written. */
  since(atS: number, message: string): number[] {
    return this.lines.filter((l) => l.atS >= atS && l.message === message).map((l) => l.atS);
  }
}

/** An emulated deployment for a test: by default one zone, two controllers and four machines. */
export class TestCluster extends Cluster {
  constructor(more: Partial<Deployment> = {}, log?: (node: string) => Log, seed = 1) {
    const zones = more.zones ?? ['a'];
    const nodes = more.nodes ?? ['a', 'a'];
    const types = [smallType, large];
    super(
      {
        zones,
        nodes,
        types,
        // The cloud rents out no machines beyond the initial ones, so scaling out cannot hide a failure.
        capacity: [],
        initial: zones.map((zone) => ({ type: 'small', zone, spot: false, count: 4 })),
        teams: [{ name: 'red', cores: 8, maxCores: 0 }],
        objectives: [{ class: 'short', withinS: 60 }],
        heartbeatS: 2.5,
        leaseS: 16,
        cancelS: 36,
        store: { rps: 250, writeRps: 90, valueKb: 32, txnOps: 12 },
        cloud: { rps: 8, listLagS: 5 },
        wallClockErrorMs: 0,
        ...more,
      },
      { seed, ...(log ? { log } : {}) },
    );
  }

  /** Starts all controllers and gives them time to become ready. */
  async begin(seconds = 15): Promise<void> {
    this.deployment.nodes.forEach((_, node) => this.startController(node));
    await this.run(seconds);
  }

  run(seconds: number): Promise<void> {
    return this.time.runUntil(this.time.now + seconds * 1000);
  }

  /** Runs until the condition holds. Fails the test if it does not hold within the time. */
  async until(what: string, holds: () => boolean, seconds: number, stepMs = 100): Promise<void> {
    const end = this.time.now + seconds * 1000;
    while (!holds() && this.time.now < end) await this.time.runUntil(this.time.now + stepMs);
    assert.ok(holds(), `${what} within ${String(seconds)} s`);
  }

  /** A user submits the job now and polls it until it is completed. */
  submit(spec: Partial<JobSpec>, runS = 5): Work {
    const work = newWork({ ...plainJob, ...spec }, () => runS, false);
    this.workload.set(work.spec.id, work);
    this.users.begin(work, { atS: this.time.now / 1000, cancelAtS: null, resubmitAtS: null });
    return work;
  }

  /** The slices in the job's open record in the key-value store: the task range assigned to each shard. */
  slicesOf(job: string): { part: string; from: number; count: number }[] {
    const record = this.store.read(`live/job/${job}`) as
      { slices: { part: string; from: number; count: number }[] } | undefined;
    return record?.slices ?? [];
  }

  /** Asserts that every submitted job is done and that no invariant was violated. */
  assertAllDone(): void {
    assert.deepEqual(this.checker.violations, []);
    for (const { spec } of this.workload.values())
      assert.equal(this.checker.finalState(spec.id), 'done', spec.id);
  }
}
