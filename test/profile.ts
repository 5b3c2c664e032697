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

/** Self time of a processor profile, by module and by function, in shares of the time that was not idle. */
export function account(file: string, bundle: string, rows = 45): string {
  const profile = JSON.parse(readFileSync(file, 'utf8')) as Profile;
  // esbuild heads each module of a bundle with its path.
  const modules = readFileSync(bundle, 'utf8')
    .split('\n')
    .map((line) => /^\s*\/\/ ((?:src|node_modules)\/\S+)$/.exec(line)?.[1] ?? null);
  for (let i = 1; i < modules.length; i++) modules[i] ??= modules[i - 1] ?? null;
  const own = new Map<number, number>();
  profile.samples.forEach((id, i) => own.set(id, (own.get(id) ?? 0) + (profile.timeDeltas[i] ?? 0)));
  const nameOf = (frame: Profile['nodes'][number]['callFrame']): string => {
    if (frame.url === '') return frame.functionName;
    if (frame.url.startsWith('node:')) return frame.url;
    const module = modules[frame.lineNumber] ?? 'bundle';
    return module.replace(/^node_modules\/((?:@[^/]+\/)?[^/]+)\/.*/, '$1');
  };
  const byModule = new Map<string, number>();
  const byFunction = new Map<string, number>();
  let total = 0;
  for (const node of profile.nodes) {
    const time = own.get(node.id) ?? 0;
    const { functionName } = node.callFrame;
    if (functionName === '(idle)' || time === 0) continue;
    total += time;
    const module = nameOf(node.callFrame);
    byModule.set(module, (byModule.get(module) ?? 0) + time);
    const name = `${functionName || '(anonymous)'} ${module}`;
    byFunction.set(name, (byFunction.get(name) ?? 0) + time);
  }
  const table = (of: Map<string, number>): string =>
    [...of]
      .sort((a, b) => b[1] - a[1])
      .slice(0, rows)
      .map(([name, time]) => `  ${((time / total) * 100).toFixed(1).padStart(5)}%  ${name}`)
      .join('\n');
  return `${file}: ${(total / 1000).toFixed(0)} ms not idle\n${table(byModule)}\nby function\n${table(byFunction)}`;
}
