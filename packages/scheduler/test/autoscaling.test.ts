import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEMAND_HEADROOM, DEMAND_WINDOW_MS } from '../src/constants.ts';
import { DemandWindow, workloadsOf } from '../src/coordination/autoscaling/capacity.ts';
import { chooseScaleOut, type ScaleOutInput } from '../src/coordination/autoscaling/scale-out-choice.ts';
import type { MachineType } from '../src/protocol/cloud.ts';
import { Slice } from '../src/storage/slice.ts';
import { jobSpec } from './support/job-spec.ts';

function machineType(name: string, changes: Partial<MachineType> = {}): MachineType {
  return {
    name,
    cores: 8,
    accelerators: 0,
    ramGb: 32,
    localGb: 10,
    price: 1,
    spotPrice: 1,
    bootS: 30,
    zones: ['a'],
    ...changes,
  };
}

describe('demand window', () => {
  it('keeps the highest demand, with headroom, until it expires', () => {
    const window = new DemandWindow();
    window.record({ ordinary: 10, all: 40 }, 0);
    const later = window.record({ ordinary: 20, all: 30 }, DEMAND_WINDOW_MS - 1);
    assert.deepEqual(later, { ordinary: 20 * DEMAND_HEADROOM, all: 40 * DEMAND_HEADROOM });
    const expired = window.record({ ordinary: 1, all: 1 }, DEMAND_WINDOW_MS);
    assert.deepEqual(expired, { ordinary: 20 * DEMAND_HEADROOM, all: 30 * DEMAND_HEADROOM });
  });

  it('counts the unsettled tasks of a slice, and one task of a failing job', () => {
    const slices = ['j-1', 'j-2'].map((id) => {
      const spec = jobSpec({ id });
      const slice = new Slice({ name: `a/${id}/0`, spec, at: 0, from: 0, count: 10, settled: '' }, false);
      slice.settle(0);
      return slice;
    });
    const workloads = workloadsOf(slices, (id) => id === 'j-2');
    assert.deepEqual(
      workloads.map(({ spec, tasks }) => [spec.id, tasks]),
      [
        ['j-1', 9],
        ['j-2', 1],
      ],
    );
  });
});

describe('choice of machines to scale out', () => {
  const slow = machineType('slow', { bootS: 60, cores: 64, price: 0.1 });
  const small = machineType('small');
  const large = machineType('large', { cores: 16 });
  const input: ScaleOutInput = {
    workloads: [{ spec: jobSpec(), tasks: 10 }],
    types: [slow, small, large],
    demand: { ordinary: 40, all: 40 },
    supply: { ordinary: 0, all: 0 },
    machines: [],
    isAvailable: () => true,
  };
  const choose = (changes: Partial<ScaleOutInput>): unknown => {
    const choice = chooseScaleOut({ ...input, ...changes });
    return choice && [choice.type.name, choice.spot, choice.cores];
  };

  it('prefers the machine type with the shortest boot time, then the one with the most cores', () => {
    assert.deepEqual(choose({}), ['large', false, 40]);
    assert.deepEqual(choose({ isAvailable: (type) => type !== large }), ['small', false, 40]);
  });

  it('requests no machine when the supply meets the demand or no machine type is available', () => {
    assert.equal(choose({ supply: input.demand }), null);
    assert.equal(choose({ isAvailable: () => false }), null);
  });

  it('prefers spot machines for jobs that allow them, and falls back to ordinary machines', () => {
    const workloads = [{ spec: jobSpec({ spot: true }), tasks: 10 }];
    const demand = { ordinary: 0, all: 40 };
    assert.deepEqual(choose({ workloads, demand }), ['large', true, 40]);
    assert.deepEqual(choose({ workloads, demand, isAvailable: (_, spot) => !spot }), ['large', false, 40]);
  });

  it('scales out for a job that only some machine types can run, even if all machines together have enough cores', () => {
    const workloads = [{ spec: jobSpec({ types: ['small'] }), tasks: 3 }];
    const machines = [{ type: large, spot: false }];
    const supply = { ordinary: 1000, all: 1000 };
    assert.deepEqual(choose({ workloads, machines, supply }), ['small', false, 3 * 2 * DEMAND_HEADROOM]);
    const enough = Array.from({ length: 2 }, () => ({ type: small, spot: false }));
    assert.equal(choose({ workloads, machines: enough, supply }), null);
  });
});
