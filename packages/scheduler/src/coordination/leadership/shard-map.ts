import { createHash } from 'node:crypto';
import { SHARD_CACHE_SIZE } from '../../constants.ts';

/**
 * The parts of a deployment: its zones, each divided by a hash of the machine's name where there are more
 * controllers than zones. A part never leaves its zone, so zone rules are settled when tasks are shared out.
 */
export interface ShardMap {
  names: string[];
  zoneOf(shard: string): string;
  shardOf(machine: { id: string; zone: string }): string | null;
  /** Tells these parts from those that other zones or controllers come to. */
  version: string;
}

export function shardMap(zones: string[], controllers: number): ShardMap {
  const perZone = Math.max(1, Math.ceil(controllers / zones.length));
  const name = (zone: string, k: number): string => (perZone === 1 ? zone : `${zone}.${String(k)}`);
  const zoneOf = new Map<string, string>();
  for (const zone of zones) for (let k = 0; k < perZone; k++) zoneOf.set(name(zone, k), zone);
  // Asked at every report, and a machine never changes its part.
  const shares = new Map<string, number>();
  const shareOf = (id: string): number => {
    const known = shares.get(id);
    if (known !== undefined) return known;
    if (shares.size >= SHARD_CACHE_SIZE) shares.clear();
    const share = hash(id) % perZone;
    shares.set(id, share);
    return share;
  };
  return {
    names: [...zoneOf.keys()],
    version: zones.map((zone) => `${zone}/${String(perZone)}`).join(' '),
    zoneOf: (shard) => zoneOf.get(shard) ?? shard,
    shardOf: (machine) => {
      if (!zones.includes(machine.zone)) return null;
      return name(machine.zone, perZone === 1 ? 0 : shareOf(machine.id));
    },
  };
}

/** A stable hash that every node reckons alike. */
export function hash(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}
