/**
 * The paper's idle list of one shard (docs/design.md, "What was kept"). A heartbeat appends its machine if
 * the machine is empty. A new leader begins with an empty list, and starts tasks as heartbeats arrive.
 */
import type { Machine } from '../../storage/machine.ts';
import type { IdleState } from '../../storage/machine-state.ts';

/** The empty machines of a shard, the one appended last at the end. */
export class IdleList {
  private readonly list: Machine[] = [];

  /** The idle machines, in the order in which they were appended. */
  get machines(): readonly Machine[] {
    return this.list;
  }

  /** After a heartbeat of the machine: appends it if it is empty, takes it off the list if not. */
  update(machine: Machine & IdleState, now: number): void {
    if (machine.attempts.size > 0) {
      this.remove(machine);
      return;
    }
    if (machine.idleSince === Infinity) machine.idleSince = now;
    if (!this.list.includes(machine)) this.list.push(machine);
  }

  /** Takes the machine off the list: it has a task now, or takes none any more. */
  remove(machine: Machine & IdleState): void {
    machine.idleSince = Infinity;
    const index = this.list.indexOf(machine);
    if (index >= 0) this.list.splice(index, 1);
  }
}
