/** Reads of the cloud's list of machines: PROTOCOL, "Controller nodes -> cloud". */
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';
import type { LedShards } from './led-shards.ts';
import type { ShardMap } from './shard-map.ts';
import type { CloudRequests } from '../autoscaling/cloud-requests.ts';

/** What {@link MachineListReader} needs of its node. */
export interface MachineListReaderContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly cloud: CloudRequests;
  readonly shardMap: ShardMap;
  readonly ledShards: LedShards;
}

/** Passes the machines that the cloud lists to the autoscalers of their shards. */
export class MachineListReader {
  constructor(private readonly context: MachineListReaderContext) {}

  /** Reads the list once. A failed read is logged; the next period reads again, and no other work waits. */
  async refresh(): Promise<void> {
    const { clock, cloud, ledShards, log, shardMap } = this.context;
    if (ledShards.names.length === 0) return;
    const readAt = clock.now();
    const machines = await cloud.list().catch((error: unknown) => {
      log.debug({ err: String(error) }, 'machine list not read');
      return null;
    });
    if (!machines) return;
    for (const { autoscaler, shard } of ledShards.values()) {
      const listed = machines.filter((machine) => shardMap.shardOf(machine) === shard.name);
      autoscaler.onMachineList(listed, readAt);
    }
  }
}
