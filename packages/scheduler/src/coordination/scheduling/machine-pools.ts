/** The machine pools that a shard's leader reports to its peers, for their migration of pending tasks. */
import { FREE_CAPACITY_REPORTED } from '../../constants.ts';
import { type Machine, freeCapacity, machinePoolKey } from '../../storage/machine.ts';
import type { MachinePool } from '../../protocol/peer-messages.ts';

/**
 * Counts the schedulable and the idle machines of each machine pool. For a pool without an idle machine, also
 * lists the free capacity of the machines with the most free cores. Free capacity is omitted if tasks of the
 * shard itself wait for it. Pools with an idle machine omit it too, because an idle machine is always
 * preferred to a used one.
 */
export function summarizeMachinePools(
  schedulable: readonly Machine[],
  idle: ReadonlySet<Machine>,
  hasUnplaceableTasks: boolean,
): Record<string, MachinePool> {
  const pools: Record<string, MachinePool> = {};
  for (const machine of schedulable) {
    const pool = (pools[machinePoolKey(machine.typeName, machine.spot)] ??= { schedulable: 0, idle: 0 });
    pool.schedulable++;
    if (idle.has(machine)) pool.idle++;
  }
  const isFreeCapacityOffered = !hasUnplaceableTasks && Object.values(pools).some((pool) => pool.idle === 0);
  if (isFreeCapacityOffered) addFreeCapacity(pools, schedulable);
  return pools;
}

function addFreeCapacity(pools: Record<string, MachinePool>, schedulable: readonly Machine[]): void {
  for (const machine of schedulable) {
    const free = freeCapacity(machine);
    const pool = pools[machinePoolKey(machine.typeName, machine.spot)];
    if (pool?.idle === 0 && free && free.cores > 0) (pool.freeCapacity ??= []).push({ ...free });
  }
  for (const { freeCapacity: reported } of Object.values(pools)) {
    if (!reported) continue;
    reported.sort((a, b) => b.cores - a.cores);
    reported.length = Math.min(reported.length, FREE_CAPACITY_REPORTED);
  }
}
