/** The first of the answers that is not null, or null once none of them can be. */
export async function firstNonNull<T>(answers: Promise<T | null>[]): Promise<T | null> {
  const given = answers.map(async (answer) => {
    const value = await answer;
    if (value === null) throw new Error('no answer');
    return value;
  });
  return Promise.any(given).catch(() => null);
}
