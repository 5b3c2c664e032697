/** The machines that the cloud has confirmed to be gone. */
import { TERMINATED_REMEMBERED } from '../../constants.ts';

/**
 * Remembers the last ones, so that late copies of their heartbeats are known as such: names are never used
 * again.
 */
export class TerminatedMachines {
  private readonly ids = new Set<string>();

  /** Adds a machine, and forgets the oldest one when there are too many. */
  add(id: string): void {
    this.ids.add(id);
    const [oldest] = this.ids;
    if (this.ids.size > TERMINATED_REMEMBERED && oldest !== undefined) this.ids.delete(oldest);
  }

  /** Whether the machine is known to be gone. */
  has(id: string): boolean {
    return this.ids.has(id);
  }
}
