import { createHash } from 'node:crypto';
import { PART_CACHE } from '../../constants.ts';

/**
 * The parts of a deployment: its zones, each divided by a hash of the machine's name where there are more
 * controllers than zones. A part never leaves its zone, so zone rules are settled when tasks are shared out.
 */
export interface PartMap {
  names: string[];
  zoneOf(part: string): string;
  partOf(machine: { id: string; zone: string }): string | null;
  /** Tells these parts from those that other zones or controllers come to. */
  layout: string;
}

export function partMap(zones: string[], controllers: number): PartMap {
  const perZone = Math.max(1, Math.ceil(controllers / zones.length));
  const name = (zone: string, k: number): string => (perZone === 1 ? zone : `${zone}.${String(k)}`);
  const zoneOf = new Map<string, string>();
  for (const zone of zones) for (let k = 0; k < perZone; k++) zoneOf.set(name(zone, k), zone);
  // Asked at every report, and a machine never changes its part.
  const shares = new Map<string, number>();
  const shareOf = (id: string): number => {
    const known = shares.get(id);
    if (known !== undefined) return known;
    if (shares.size >= PART_CACHE) shares.clear();
    const share = hash(id) % perZone;
    shares.set(id, share);
    return share;
  };
  return {
    names: [...zoneOf.keys()],
    layout: zones.map((zone) => `${zone}/${String(perZone)}`).join(' '),
    zoneOf: (part) => zoneOf.get(part) ?? part,
    partOf: (machine) => {
      if (!zones.includes(machine.zone)) return null;
      return name(machine.zone, perZone === 1 ? 0 : shareOf(machine.id));
    },
  };
}

/** A stable hash that every node reckons alike. */
export function hash(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}
