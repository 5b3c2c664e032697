/** Tests that may fail for now: each for a real fault that is known, named in `KNOWN-RED.txt` at the repository's root. */
export interface KnownRed {
  test: string;
  cause: string;
  issue: string;
}

/** A test's end, as the runner tells it; `inner` where only tests within it have failed. */
export interface TestEnd {
  name: string;
  passed: boolean;
  inner: boolean;
}

/** Lines that the file may have: more would be a list of what nobody mends. */
export const KNOWN_RED_MOST = 3;

/**
 * Reads the file's text, one line a test: `test name | cause | issue`. Throws an error of one line for a line that is not
 * of that form, a test named twice, or too many lines.
 */
export function readKnownRed(text: string): KnownRed[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > KNOWN_RED_MOST)
    throw new Error(`${String(lines.length)} lines; at most ${String(KNOWN_RED_MOST)} are allowed`);
  const known = lines.map((line) => {
    const [test = '', cause = '', issue = '', ...more] = line.split('|').map((field) => field.trim());
    if (test === '' || cause === '' || issue === '' || more.length > 0)
      throw new Error(`not of the form "test name | cause | issue": ${line}`);
    return { test, cause, issue };
  });
  const twice = known.find(({ test }, at) => known.findIndex((other) => other.test === test) !== at);
  if (twice) throw new Error(`named twice: ${twice.test}`);
  return known;
}

/**
 * Why the check fails, a line each; none: it passes. A failure is passed over only for a test of just that name, and a
 * line stays only as long as its one test is there and fails.
 */
export function verdict(known: KnownRed[], ends: TestEnd[]): string[] {
  const wrong: string[] = [];
  if (ends.length === 0) wrong.push('no test was run');
  const listed = new Set(known.map(({ test }) => test));
  for (const { name, passed, inner } of ends)
    if (!passed && !inner && !listed.has(name)) wrong.push(`failed: ${name}`);
  for (const test of listed) {
    const its = ends.filter(({ name }) => name === test);
    if (its.length === 0) wrong.push(`listed, and no test has the name: ${test}`);
    else if (its.length > 1) wrong.push(`listed, and several tests have the name: ${test}`);
    else if (its[0]?.passed) wrong.push(`listed, and passes again: ${test}`);
    else if (its[0]?.inner) wrong.push(`listed, and is not a test of its own: ${test}`);
  }
  return wrong;
}
