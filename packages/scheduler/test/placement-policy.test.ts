import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type Machine, recordImageUse } from '../src/storage/machine.ts';
import { type Candidates, MachineChooser } from '../src/coordination/scheduling/placement-policy.ts';
import type { JobSpec } from '../src/protocol/users.ts';
import { type Random, seededRandom } from '../src/transport/random.ts';
import { machineType, machine, decodedJobSpec } from './support/builders.ts';

/** Chooses a machine for a single task. */
function pick(spec: JobSpec, from: Candidates, random: Random): Machine | null {
  return new MachineChooser(spec, from).next(random);
}

describe('placement policy', () => {
  const random = seededRandom(1);

  it('chooses the last machine of the idle list that fits', () => {
    const [first, last, big] = [machine('m1'), machine('m2'), machine('m3')];
    big.type = { ...machineType, cores: 1 };
    const chosen = pick(
      decodedJobSpec(),
      { schedulable: [first, last, big], idle: [first, last, big] },
      random,
    );
    assert.equal(chosen, last);
  });

  it('prefers machines that have the image, but prefers any idle machine to a busy one with the image', () => {
    const [withImage, last] = [machine('m1'), machine('m2')];
    recordImageUse(withImage, 'img', 4);
    assert.equal(
      pick(decodedJobSpec(), { schedulable: [withImage, last], idle: [withImage, last] }, random),
      withImage,
    );
    assert.equal(pick(decodedJobSpec(), { schedulable: [withImage, last], idle: [last] }, random), last);
    assert.equal(
      pick(
        decodedJobSpec({ stampo: 'x' }),
        { schedulable: [withImage, last], idle: [withImage, last] },
        random,
      ),
      last,
    );
    withImage.load = 0.5;
    assert.equal(pick(decodedJobSpec(), { schedulable: [withImage, last], idle: [] }, random), withImage);
    // The image cache holds ten gigabytes and evicts the least recently used images.
    recordImageUse(withImage, 'x', 4);
    recordImageUse(withImage, 'img', 4);
    recordImageUse(withImage, 'y', 4);
    assert.deepEqual([...withImage.images.keys()], ['img', 'y']);
  });

  it('chooses the less loaded of two random machines when none is idle', () => {
    const busy = machine('m1', 0.5, 0.25);
    const lower = machine('m2', 0.6, 0.0);
    for (let i = 0; i < 20; i++)
      assert.equal(pick(decodedJobSpec(), { schedulable: [busy, lower], idle: [] }, random), lower);
    const many = Array.from({ length: 20 }, (_, i) => machine(`m${String(i)}`, i / 20));
    const worst = many.at(-1);
    for (let i = 0; i < 200; i++)
      assert.notEqual(pick(decodedJobSpec(), { schedulable: many, idle: [] }, random), worst);
  });

  it('prefers spot machines for a job that allows them, and never uses one for another job', () => {
    const [ordinary, spot] = [machine('m1'), machine('m2', 0.9, 0, true)];
    const from: Candidates = { schedulable: [ordinary, spot], idle: [ordinary] };
    assert.equal(pick(decodedJobSpec({ prestiti: true }), from, random), spot);
    assert.equal(pick(decodedJobSpec(), from, random), ordinary);
  });
});
