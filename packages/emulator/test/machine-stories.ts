import type { Violation } from '../src/judge.ts';
import { Meeting, paces } from './refused-leader.ts';
import type { Story } from './story.ts';

const some = (count: number, zone = 'a'): { type: string; zone: string; spot: boolean; count: number } => ({
  type: 'small',
  zone,
  spot: false,
  count,
});

/**
 * Some machines reach no controller, for longer than several leases, while direct commands reach them: what is begun there
 * is killed with the next lease. Work longer than a lease, as much as the others hold, is done by the others.
 */
export async function muteMachines(
  leaderEnds: boolean,
): Promise<{ broken: Violation[]; done: number; lost: number }> {
  const pace = paces.matkaturva;
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a'], ...pace, initial: [some(12)] });
  await world.begin();
  const mute = new Set([...world.workers.values()].filter((_, n) => n % 2 === 0).map((w) => w.host));
  const heal = world.network.muteCalls((a, b) => mute.has(a) && b.kind === 'node');
  await world.run(pace.leaseS);
  if (leaderEnds) {
    world.end(0);
    await world.run(6);
    world.start(0, 50);
  }
  for (let n = 0; n < 12; n++) {
    world.submit({ id: `j-${String(n)}`, tasks: 4, cores: 2 }, pace.leaseS + 6);
    await world.run(2);
  }
  await world.run(12 * 4);
  const lost = world.sessionsLost;
  await world.run(90);
  const ids = [...world.workload.keys()];
  const done = ids.filter((id) => world.judge.finalState(id) === 'done').length;
  if (done < ids.length) world.judge.break('unserved', `${String(done)} of ${String(ids.length)} jobs`);
  heal();
  await world.run(60);
  for (const id of ids) if (world.judge.finalState(id) !== 'done') world.judge.break('stuck', id);
  return { broken: world.judge.violations, done, lost };
}

export const machineStories: Record<string, Story> = {
  'machines that reach no controller': async () => (await muteMachines(false)).broken,
  'machines that reach no controller, and the leader ends': async () => (await muteMachines(true)).broken,
};
