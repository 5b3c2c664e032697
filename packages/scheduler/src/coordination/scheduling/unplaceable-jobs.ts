/** A cache, for one scheduling round, of the jobs for which no machine has capacity. */
import { fits } from '../../storage/resources.ts';
import type { JobSpec } from '../../protocol/users.ts';

/**
 * The jobs that found no machine in a scheduling round. Free capacity only shrinks within a round, so a job
 * that needs at least as much of the same machines need not be tried. In a long backlog, that is almost every
 * job at every heartbeat. Lists of machine types are compared by identity: a second job with an equal list of
 * its own is tried, with the same result.
 */
export class UnplaceableJobs {
  private readonly specs: JobSpec[] = [];

  /** Records that no machine has capacity for a task of the job. */
  add(spec: JobSpec): void {
    this.specs.push(spec);
  }

  /** Whether a recorded job shows that this one finds no machine either. */
  covers(spec: JobSpec): boolean {
    return this.specs.some(
      (unplaceable) =>
        unplaceable.spot === spec.spot &&
        unplaceable.zone === spec.zone &&
        unplaceable.types === spec.types &&
        fits(unplaceable, spec),
    );
  }
}
