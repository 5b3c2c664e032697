import { createHash } from 'node:crypto';

/**
 * The parts of a deployment: its zones, each divided by a hash of the machine's name where there are more
 * controllers than zones. A part never leaves its zone, so zone rules are settled when tasks are shared out.
 */
export interface PartMap {
  names: string[];
  zoneOf(part: string): string;
  partOf(machine: { id: string; zone: string }): string | null;
}

export function partMap(zones: string[], controllers: number): PartMap {
  const perZone = Math.max(1, Math.ceil(controllers / zones.length));
  const name = (zone: string, k: number): string => (perZone === 1 ? zone : `${zone}.${String(k)}`);
  const zoneOf = new Map<string, string>();
  for (const zone of zones) for (let k = 0; k < perZone; k++) zoneOf.set(name(zone, k), zone);
  return {
    names: [...zoneOf.keys()],
    zoneOf: (part) => zoneOf.get(part) ?? part,
    partOf: (machine) => {
      if (!zones.includes(machine.zone)) return null;
      const k = perZone === 1 ? 0 : hash(machine.id) % perZone;
      return name(machine.zone, k);
    },
  };
}

/** A stable hash that every node reckons alike. */
export function hash(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}
