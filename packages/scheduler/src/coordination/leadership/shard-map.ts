/** The division of a deployment's machines into shards: docs/design.md, "Shards". */
import { createHash } from 'node:crypto';
import { SHARD_CACHE_SIZE } from '../../constants.ts';

/**
 * The shards of a deployment: its zones, each divided by a hash of the machine's id where there are more
 * controllers than zones. A shard lies within one zone, so that zone rules are decided when tasks are
 * assigned to shards.
 */
export interface ShardMap {
  /** All shards, zone by zone. */
  readonly names: readonly string[];
  /** Differs where the zones or the shards per zone differ: a node leads no shard of another version. */
  readonly version: string;
  /** The zone in which the shard lies. */
  zoneOf(shard: string): string;
  /** The machine's shard; null if its zone does not belong to the deployment. */
  shardOf(machine: { id: string; zone: string }): string | null;
}

/** The shard map of a deployment with these zones and this number of controllers. */
export function shardMap(zones: readonly string[], controllers: number): ShardMap {
  const shardsPerZone = Math.max(1, Math.ceil(controllers / zones.length));
  const nameOf = (zone: string, index: number): string =>
    shardsPerZone === 1 ? zone : `${zone}.${String(index)}`;
  const zoneOfShard = new Map<string, string>();
  for (const zone of zones) {
    for (let index = 0; index < shardsPerZone; index++) zoneOfShard.set(nameOf(zone, index), zone);
  }
  const indexOf = cachedIndex(shardsPerZone);
  return {
    names: [...zoneOfShard.keys()],
    version: zones.map((zone) => `${zone}/${String(shardsPerZone)}`).join(' '),
    zoneOf: (shard) => zoneOfShard.get(shard) ?? shard,
    shardOf: ({ id, zone }) => {
      if (!zones.includes(zone)) return null;
      return nameOf(zone, shardsPerZone === 1 ? 0 : indexOf(id));
    },
  };
}

/** The index of a machine's shard in its zone, cached: it is needed at every heartbeat and never changes. */
function cachedIndex(shardsPerZone: number): (machineId: string) => number {
  const indexes = new Map<string, number>();
  return (machineId) => {
    const known = indexes.get(machineId);
    if (known !== undefined) return known;
    if (indexes.size >= SHARD_CACHE_SIZE) indexes.clear();
    const index = hash(machineId) % shardsPerZone;
    indexes.set(machineId, index);
    return index;
  };
}

/** A stable hash, an unsigned 32-bit integer, that is the same on every node. */
export function hash(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}
