/**
 * Protects against records of another shard map. When the zones, the number of controllers or the version of
 * the software change, the records of a running deployment can divide the machines differently. This node
 * then leads no shard, accepts no jobs and is not ready: docs/design.md, "Shards".
 */
import type { Log } from '../../transport/background-task.ts';
import type { Membership } from './membership.ts';
import type { ShardMap } from './shard-map.ts';

/** Tells whether the leadership records use this node's shard map. */
export class ShardMapGuard {
  private isForeign = false;

  constructor(
    private readonly shardMap: ShardMap,
    private readonly membership: Membership,
    private readonly log: Log,
  ) {}

  /** Whether the last check found a record of another shard map. */
  get hasForeignShardMap(): boolean {
    return this.isForeign;
  }

  /** Checks all leadership records. True if one is of another shard map: the first such check logs it. */
  check(): boolean {
    const { version } = this.shardMap;
    const foreign = this.membership.leadershipRecords.find(
      ([, record]) => record.shardMapVersion !== version,
    );
    if (foreign && !this.isForeign) {
      const [shard, { shardMapVersion }] = foreign;
      this.log.error(
        { shard, shardMapVersion, expectedVersion: version },
        'shard map mismatch: zones, controllers or version changed; no shard is led',
      );
    }
    this.isForeign = foreign !== undefined;
    return this.isForeign;
  }
}
