/** A race of promises in which null does not count as an answer. */

/** Makes a null result lose the race as a rejection does. */
class NullResult extends Error {
  readonly code = 'NULL_RESULT';
}

/** The first result that is not null; null once all promises have resolved to null or rejected. */
export async function firstNonNull<T>(results: Promise<T | null>[]): Promise<T | null> {
  const nonNull = results.map(async (result) => {
    const value = await result;
    if (value === null) throw new NullResult();
    return value;
  });
  return Promise.any(nonNull).catch(() => null);
}
