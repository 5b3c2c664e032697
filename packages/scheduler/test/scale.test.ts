import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { Cluster, REPORT_MS } from './support/cluster.ts';

const zones = ['a', 'b', 'c'];
const hosts = ['a', 'b', 'c', 'a2', 'b2'];
const MACHINES = 100;
const JOBS = 20;
const TASKS = 40;

let c: Cluster;

/** Five controllers, six shards, a hundred machines in each zone. */
async function large(): Promise<Cluster> {
  const made = new Cluster(zones, 0, hosts);
  for (const host of hosts) made.start(host);
  for (const zone of zones) {
    for (let n = 0; n < MACHINES; n++) made.addWorker(`n-${zone}${String(n)}`, zone);
  }
  await made.clock.pass(6 * REPORT_MS);
  return made;
}

const commands = (): number => [...c.workers.values()].reduce((sum, w) => sum + w.commands, 0);

describe('scale', () => {
  afterEach(() => c.stop());

  it('puts a bounded load on the store and the workers, whatever the number of machines, jobs and shards', async () => {
    c = await large();
    const shards = hosts.flatMap((host) => c.led(host));
    assert.equal(shards.length, 6, 'more shards than zones, each with a leader');
    const machineChanges = [...c.state.data.keys()].filter((key) => key.startsWith('live/machines/')).length;
    assert.ok(machineChanges <= 12, `${String(machineChanges)} records for three hundred machines`);
    assert.ok(c.state.changes < 60, `${String(c.state.changes)} changes to come up`);

    const before = { changes: c.state.changes, requests: c.state.requests, commands: commands() };
    for (let i = 0; i < JOBS; i++) {
      const answer = await c.submit(hosts[i % hosts.length] ?? 'a', `j-${String(i)}`, TASKS);
      assert.equal(answer.status, 201);
    }
    await c.clock.pass(3 * REPORT_MS);
    assert.equal(c.onMachines().length, JOBS * TASKS);
    const seconds = 6 * REPORT_MS * 0.001;
    for (const w of c.workers.values()) for (const task of w.running()) w.finish(task);
    await c.clock.pass(3 * REPORT_MS);
    for (let i = 0; i < JOBS; i++) assert.equal((await c.poll('a', `j-${String(i)}`)).body['stato'], 'done');

    // Two changes to accept a job, two to end it, and what the shards record in a second, however many tasks end.
    const changes = c.state.changes - before.changes;
    assert.ok(changes <= JOBS * 4 + shards.length * 4 * seconds, `${String(changes)} changes`);
    // A node watches, extends its lease, and reads for its users.
    const requests = c.state.requests - before.requests;
    assert.ok(requests <= JOBS * 4 + hosts.length * 60 * seconds, `${String(requests)} requests`);
    // Tasks placed together on a machine travel together; none is sent twice.
    const sent = commands() - before.commands;
    assert.ok(sent <= JOBS * TASKS, `${String(sent)} calls for ${String(JOBS * TASKS)} tasks`);
    const started = [...c.workers.values()].flatMap((w) => w.started).length;
    assert.equal(started, JOBS * TASKS);
  });

  it('resumes scheduling in every shard soon after all controllers crash at once, though one machine is unreachable', async () => {
    c = await large();
    c.mute.add('n-a7');
    for (const host of hosts) c.fault(host, 'worker-n-a7:1', 'silent');
    for (const host of hosts) c.crash(host);
    await c.clock.pass(6000);
    const before = { changes: c.state.changes, commands: commands() };
    // They are back one after the other: the first must not take all shards and hand them over again.
    for (const host of hosts) {
      c.start(host);
      await c.clock.pass(500);
    }
    await c.clock.pass(2000);
    assert.equal(hosts.flatMap((host) => c.led(host)).length, 6);
    const records = [...c.state.data].filter(([key]) => key.startsWith('live/part/'));
    for (const [key, { v }] of records) assert.equal((v as { token: number }).token, 2, key);
    // New work goes on at once: it cannot be on the machine that does not answer.
    assert.equal((await c.submit('b', 'j-90', 60)).status, 201);
    await c.clock.pass(REPORT_MS);
    assert.equal(c.onMachines().length, 60);
    assert.ok(c.state.changes - before.changes < 60, `${String(c.state.changes - before.changes)} changes`);
    const asked = commands() - before.commands;
    assert.ok(asked < 3 * MACHINES * 4, `${String(asked)} direct calls to three hundred machines`);
  });
});
