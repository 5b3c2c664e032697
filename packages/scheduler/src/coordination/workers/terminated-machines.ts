/** The machines whose termination the cloud has confirmed. */
import { TERMINATED_REMEMBERED } from '../../constants.ts';

/**
 * Remembers the most recently terminated machines (`TERMINATED_REMEMBERED`), so that late copies of their
 * heartbeats are recognized. The cloud never reuses a machine's name.
 */
export class TerminatedMachines {
  private readonly ids = new Set<string>();

  /** Adds a machine, and removes the oldest one when there are too many. */
  add(id: string): void {
    this.ids.add(id);
    const [oldest] = this.ids;
    if (this.ids.size > TERMINATED_REMEMBERED && oldest !== undefined) this.ids.delete(oldest);
  }

  /** Whether the machine is known to be terminated. */
  has(id: string): boolean {
    return this.ids.has(id);
  }
}
