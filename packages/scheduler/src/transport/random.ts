/** Random numbers, which are injected so that a run in virtual time depends only on its seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A source of random numbers. Tests and simulations choose the seed; the service draws it from the system.
 */
export interface Random {
  /** An integer, uniformly distributed in [0, n). */
  below(n: number): number;
}

/** A pseudo-random source; the same seed gives the same sequence. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { below: (n) => uniformInt(generator, 0, n - 1) };
}
