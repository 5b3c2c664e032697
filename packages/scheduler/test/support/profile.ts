/** Attributes the samples of a CPU profile to causes and modules. */
import { readFileSync } from 'node:fs';

interface Profile {
  nodes: {
    id: number;
    callFrame: { functionName: string; url: string; lineNumber: number };
    children?: number[];
  }[];
  samples: number[];
  timeDeltas: number[];
}

/**
 * Causes of CPU time, each with a pattern for "function module" of a stack frame. A sample has the cause of
 * its innermost frame that matches a pattern. If a frame matches several patterns, the first one counts.
 */
const CAUSES: [string, RegExp][] = [
  ['garbage collection', /^\(garbage collector\)/],
  ['task placement', /^(place|placeOn|serve|queue|run) src\/coordination|placement\.ts|team-usage\.ts/],
  ['serving order', /^servingOrder |waiting\.ts/],
  ['shard ticks', /^(tick|tickParts|tell|summary|running|open) src\/coordination|renting\.ts/],
  ['heartbeats: processing', /^(onReport|apply|orders|forgets|booked) |machines\.ts/],
  ['heartbeats: decoding', /^(decodeReport|readBody) src\/protocol/],
  [
    'records: watches, pages, writes',
    /records\.ts|open-jobs\.ts|store\.ts|pages\.ts|protocol\/state\.ts|task-set\.ts/,
  ],
  ['user API', /coordination\/jobs\.ts|protocol\/users\.ts/],
  ['cloud', /cloud-calls\.ts|protocol\/cloud\.ts/],
  ['peer messages', /transport\/mesh\.ts|averages\.ts|protocol\/mesh\.ts|cbor-x/],
  ['HTTP client', /http-client\.ts|node:_http_client|node:_http_agent/],
  ['HTTP server', /http-server\.ts|http-api\.ts|node:_http_server|^parserOn|node:_http_common|hono/],
  ['startup: modules', /node:internal\/(modules|bootstrap|main)|^(compileFunction|require)/],
  [
    'sockets, streams, timers',
    /node:(net|internal\/(stream|timers|streams|event))|^(processTimers|onStreamRead)/,
  ],
];

/**
 * Formats the self time of a CPU profile by cause and by module, in percent of the time that was not idle.
 * `bundle`: the bundle that was profiled. `rows`: maximum number of rows of each table.
 */
export function summarizeProfile(file: string, bundle: string, rows = 25): string {
  const profile = JSON.parse(readFileSync(file, 'utf8')) as Profile;
  // esbuild writes the path of each module as a comment above the module's code in the bundle.
  const modules = readFileSync(bundle, 'utf8')
    .split('\n')
    .map((line) => /^\s*\/\/ ((?:packages|node_modules)\/\S+)$/.exec(line)?.[1] ?? null);
  for (let i = 1; i < modules.length; i++) modules[i] ??= modules[i - 1] ?? null;
  const selfTimes = new Map<number, number>();
  profile.samples.forEach((id, i) =>
    selfTimes.set(id, (selfTimes.get(id) ?? 0) + (profile.timeDeltas[i] ?? 0)),
  );
  const moduleOf = (frame: Profile['nodes'][number]['callFrame']): string => {
    if (frame.url === '') return frame.functionName;
    if (frame.url.startsWith('node:')) return frame.url;
    const module = modules[frame.lineNumber] ?? 'bundle';
    return module.replace(/^node_modules\/((?:@[^/]+\/)?[^/]+)\/.*/, '$1');
  };
  const nodes = new Map(profile.nodes.map((node) => [node.id, node]));
  const byCause = new Map<string, number>();
  const byModule = new Map<string, number>();
  let total = 0;
  const visit = (id: number, outerCause: string): void => {
    const node = nodes.get(id);
    if (!node) return;
    const { functionName } = node.callFrame;
    const module = moduleOf(node.callFrame);
    const cause = CAUSES.find(([, frame]) => frame.test(`${functionName} ${module}`))?.[0] ?? outerCause;
    const time = functionName === '(idle)' ? 0 : (selfTimes.get(id) ?? 0);
    total += time;
    byCause.set(cause, (byCause.get(cause) ?? 0) + time);
    byModule.set(module, (byModule.get(module) ?? 0) + time);
    for (const child of node.children ?? []) visit(child, cause);
  };
  visit(profile.nodes[0]?.id ?? 0, 'unknown');
  const table = (of: Map<string, number>): string =>
    [...of]
      .sort((a, b) => b[1] - a[1])
      .slice(0, rows)
      .map(([name, time]) => `  ${((time / total) * 100).toFixed(1).padStart(5)}%  ${name}`)
      .join('\n');
  return `${file}: ${(total / 1000).toFixed(0)} ms not idle\n${table(byCause)}\nby module\n${table(byModule)}`;
}
