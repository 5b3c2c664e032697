/** Builder of job specifications. */
import type { JobSpec } from '../../src/protocol/users.ts';

/** A small batch job of one team, with the given fields changed. */
export function jobSpec(changes: Partial<JobSpec> = {}): JobSpec {
  return {
    id: 'j-1',
    class: 'short',
    team: 'red',
    kind: 'batch',
    priority: 2,
    tasks: 10,
    cores: 2,
    accelerators: 0,
    ramGb: 1,
    image: 'image',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 5,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...changes,
  };
}
