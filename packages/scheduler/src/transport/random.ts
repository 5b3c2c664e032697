import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Injected randomness: seeded in tests, seeded from the system in service. */
export interface Random {
  /** A whole number in [0, n). */
  below(n: number): number;
}

export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { below: (n) => uniformInt(generator, 0, n - 1) };
}
