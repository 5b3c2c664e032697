/** Random numbers, passed in wherever they are needed: a run in virtual time depends on its seed alone. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers: seeded by tests and simulations, seeded from the system in service. */
export interface Random {
  /** An integer, evenly distributed in [0, n). */
  below(n: number): number;
}

/** A pseudo-random source; the same seed gives the same sequence. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { below: (n) => uniformInt(generator, 0, n - 1) };
}
