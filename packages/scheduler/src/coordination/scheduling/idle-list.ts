/**
 * The paper's idle list of one shard (docs/design.md, "What was kept"). A heartbeat appends its machine if
 * the machine is empty. A new leader begins with an empty list, and starts tasks as heartbeats arrive.
 */
import type { Machine } from '../../storage/machine.ts';
import type { IdleState } from '../../storage/machine-state.ts';

/** The idle machines of a shard; the machine appended last is at the end. */
export class IdleList {
  private readonly list: Machine[] = [];

  /** The idle machines, in the order in which they were appended. */
  get machines(): readonly Machine[] {
    return this.list;
  }

  /** Handles a heartbeat of the machine: appends the machine if it is empty, and removes it otherwise. */
  update(machine: Machine & IdleState, now: number): void {
    if (machine.attempts.size > 0) {
      this.remove(machine);
      return;
    }
    if (machine.idleSince === Infinity) machine.idleSince = now;
    if (!this.list.includes(machine)) this.list.push(machine);
  }

  /** Removes the machine, because it has been given a task or takes no more tasks. */
  remove(machine: Machine & IdleState): void {
    machine.idleSince = Infinity;
    const index = this.list.indexOf(machine);
    if (index >= 0) this.list.splice(index, 1);
  }
}
