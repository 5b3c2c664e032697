/** A race of promises that ignores null results. */

/** Rejects a null result, so that `Promise.any` ignores it. */
class NullResult extends Error {
  readonly code = 'NULL_RESULT';
}

/** The first result that is not null; null if all promises resolve to null or reject. */
export async function firstNonNull<T>(results: Promise<T | null>[]): Promise<T | null> {
  const nonNull = results.map(async (result) => {
    const value = await result;
    if (value === null) throw new NullResult();
    return value;
  });
  return Promise.any(nonNull).catch(() => null);
}
