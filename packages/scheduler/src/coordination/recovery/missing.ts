import { ID_BYTES, packIds, unpackIds } from '../../bookkeeping/id-set.ts';
import {
  jobKey,
  type JobRecord,
  type LiveRecord,
  type MachinesRecord,
  openJobKey,
  type OpenJobRecord,
  OVER,
  overKey,
  type OverRecord,
  type ProgressRecord,
  progressPrefix,
  type QuotaRecord,
  readLive,
} from '../../bookkeeping/records.ts';
import { TaskSet } from '../../bookkeeping/task-set.ts';
import type { Int } from '../../protocol/json.ts';
import type { Condition, Entry, Write } from '../../protocol/state.ts';

export type Final = 'done' | 'cancelled';

/** What a node knew when the epoch was lost. */
export interface Memory {
  /** Its copy of the records. */
  entries: ReadonlyMap<string, Entry>;
  /** Jobs that it accepted itself and that its copy did not show yet. */
  accepted: ReadonlyMap<string, OpenJobRecord>;
  /** Jobs that it knows to be over. */
  finals: ReadonlyMap<string, Final>;
  /** What the owner of parts has recorded as settled, by slice: its copy may not show it yet. */
  settled: ReadonlyMap<string, string>;
}

/** One transaction of a rebuild. `job`: of which a refusal is read back, as somebody may know that it is over. */
export interface Step {
  job: string | null;
  conditions: Condition[];
  writes: Write[];
}

/** Bytes of a value left for what its page gains before it is read again. */
const SPARE_BYTES = 256;
/** Kinds of records that are looked at one by one; of jobs that are over the pages are made anew. */
const WRITTEN_BACK: ReadonlySet<string> = new Set(['machines', 'progress', 'quota', 'job']);

/**
 * What a node knows and the state service does not show: a pure function of both, so that it may be reckoned again
 * whenever something has changed, by any number of nodes at once, until nothing is missing. Nothing goes back by it: a
 * final state wins over an open job, settled tasks and machines only join, of a job's slices those that were divided
 * further win, of a limit's shares the later split. What it returns first is needed first.
 */
export function missing(
  memory: Memory,
  view: ReadonlyMap<string, Entry>,
  at: { node: string; sealed: Int; valueBytes: number },
): Step[] {
  const steps: Step[] = [];
  const told = overIn(view);
  // Whatever any node has told to be over stays so, also where only the pages of such jobs say it.
  const finals = new Map([...overIn(memory.entries), ...told, ...memory.finals]);
  for (const entry of memory.entries.values()) {
    const known = readLive(entry.key, entry.value);
    if (known === null || !WRITTEN_BACK.has(known.kind)) continue;
    if (known.kind !== 'job') steps.push(...page(known, entry, view, at));
    else if (known.record) steps.push(...openJob(known.id, known.record, finals, view));
  }
  for (const [id, record] of memory.accepted) {
    if (!memory.entries.has(openJobKey(id))) steps.push(...openJob(id, record, finals, view));
  }
  steps.push(...settledSteps(memory, view, at));
  for (const [id, status] of finals) steps.push(...ended(id, status, view));
  steps.push(...overs(finals, told, view, at));
  return steps;
}

/** The job as this node knows it, where it is not there, or was divided less. */
function openJob(
  id: string,
  record: OpenJobRecord,
  finals: ReadonlyMap<string, Final>,
  view: ReadonlyMap<string, Entry>,
): Step[] {
  if (finals.has(id)) return [];
  const key = openJobKey(id);
  const entry = view.get(key);
  if (!entry) {
    // Its open record says enough: the state is written when it ends, and half of all changes are saved.
    const conditions = [jobKey(id), key].map((each) => ({ key: each, version: 0 }));
    return [{ job: id, conditions, writes: [{ op: 'put', key, value: record }] }];
  }
  const there = readLive(key, entry.value);
  // Slices are only ever added, and a move adds one: the more there are, the later the record.
  if (there?.kind !== 'job' || !there.record) return [];
  // Accepted once more by one that had read the copy: what was accepted first may be running.
  const earlier = record.at < there.record.at;
  const later = there.record.at === record.at && there.record.slices.length < record.slices.length;
  if (!earlier && !later) return [];
  return [
    { job: id, conditions: [{ key, version: entry.version }], writes: [{ op: 'put', key, value: record }] },
  ];
}

/** A job that is over and shown as open. */
function ended(id: string, status: Final, view: ReadonlyMap<string, Entry>): Step[] {
  const key = openJobKey(id);
  const entry = view.get(key);
  const there = entry ? readLive(key, entry.value) : null;
  if (!entry || there?.kind !== 'job' || !there.record) return [];
  const value: JobRecord = { status, tasks: there.record.spec.tasks };
  return [
    {
      job: id,
      conditions: [{ key, version: entry.version }],
      writes: [
        { op: 'put', key: jobKey(id), value },
        { op: 'delete', key },
      ],
    },
  ];
}

/** A record of many entries: those that are missing join it. */
function page(
  known: Exclude<LiveRecord, { kind: 'job' }>,
  mine: Entry,
  view: ReadonlyMap<string, Entry>,
  at: { sealed: Int; valueBytes: number },
): Step[] {
  if (!known.record) return [];
  const entry = view.get(mine.key);
  const put = (value: object, key = mine.key): Step[] => [
    {
      job: null,
      conditions: [{ key, version: view.get(key)?.version ?? 0 }],
      writes: [{ op: 'put', key, value }],
    },
  ];
  if (known.kind === 'quota') return quota(known.record, mine, entry, at.sealed, put);
  if (!entry) return put(known.record);
  const there = readLive(mine.key, entry.value);
  let joined: object | null = null;
  if (known.kind === 'machines' && there?.kind === 'machines')
    joined = joinMachines(known.record, there.record);
  if (known.kind === 'progress' && there?.kind === 'progress')
    joined = joinProgress(known.record, there.record);
  if (!joined) return [];
  if (JSON.stringify(joined).length <= at.valueBytes - SPARE_BYTES) return put(joined);
  // Too much for one value: what is known here stands on a page of its own, and readers join the two.
  const beside = `${mine.key}x`;
  return JSON.stringify(view.get(beside)?.value) === JSON.stringify(known.record)
    ? []
    : put(known.record, beside);
}

/** Both pages' machines, or null where nothing is missing. */
function joinMachines(mine: MachinesRecord, there: MachinesRecord | null): MachinesRecord | null {
  const machines = { ...mine.machines, ...there?.machines };
  return Object.keys(machines).length === Object.keys(there?.machines ?? {}).length ? null : { machines };
}

/** Both pages' settled tasks, or null where none is missing. */
function joinProgress(mine: ProgressRecord, there: ProgressRecord | null): ProgressRecord | null {
  const settled = { ...there?.settled };
  let more = false;
  for (const [name, encoded] of Object.entries(mine.settled)) {
    const before = settled[name] ?? '';
    const joined = TaskSet.join(before, encoded);
    if (TaskSet.countIn(joined) === TaskSet.countIn(before) && name in settled) continue;
    settled[name] = joined;
    more = true;
  }
  return more ? { settled } : null;
}

/** Of two splits of a limit the later one holds: one split is the whole limit, and no two of them may be mixed. */
function quota(
  mine: QuotaRecord,
  known: Entry,
  entry: Entry | undefined,
  sealed: Int,
  put: (value: object) => Step[],
): Step[] {
  const value: QuotaRecord = { shares: mine.shares, was: String(known.version) };
  if (!entry) return put(value);
  const there = readLive(entry.key, entry.value);
  if (there?.kind !== 'quota') return [];
  // Written back since the loss, it names the version that it had; else it is of the copy that came back.
  const version = entry.version > sealed ? BigInt(there.record?.was ?? 0) : BigInt(entry.version);
  return BigInt(known.version) > version ? put(value) : [];
}

/** Settled tasks of this node's own parts that no page shows, on pages of their own beside the others. */
function settledSteps(
  memory: Memory,
  view: ReadonlyMap<string, Entry>,
  at: { node: string; valueBytes: number },
): Step[] {
  const shown = new Map<string, string>();
  for (const entry of view.values()) {
    const record = readLive(entry.key, entry.value);
    if (record?.kind !== 'progress') continue;
    for (const [name, encoded] of Object.entries(record.record?.settled ?? {}))
      shown.set(name, TaskSet.join(shown.get(name) ?? '', encoded));
  }
  const pages = new Map<string, { settled: Record<string, string>; bytes: number }[]>();
  for (const [name, encoded] of memory.settled) {
    const known = shown.get(name) ?? '';
    const joined = TaskSet.join(known, encoded);
    if (TaskSet.countIn(joined) === TaskSet.countIn(known)) continue;
    const part = name.slice(0, name.indexOf('/'));
    const bytes = name.length + joined.length + 6;
    const of = pages.get(part) ?? [];
    pages.set(part, of);
    let last = of.at(-1);
    if (!last || last.bytes + bytes > at.valueBytes - SPARE_BYTES)
      of.push((last = { settled: {}, bytes: 0 }));
    last.settled[name] = joined;
    last.bytes += bytes;
  }
  let page = 0;
  return [...pages].flatMap(([part, of]) =>
    of.map(({ settled }): Step => {
      const name = (): string => `${progressPrefix(part)}${at.node}-${String(page)}`;
      while (view.has(name())) page++;
      const key = name();
      page++;
      return {
        job: null,
        conditions: [{ key, version: 0 }],
        writes: [{ op: 'put', key, value: { settled } }],
      };
    }),
  );
}

/** The jobs that records say are over. */
function overIn(records: ReadonlyMap<string, Entry>): Map<string, Final> {
  const over = new Map<string, Final>();
  for (const entry of records.values()) {
    if (!entry.key.startsWith(OVER)) continue;
    const known = readLive(entry.key, entry.value);
    if (known?.kind !== 'over' || !known.record) continue;
    for (const id of unpackIds(known.record.done)) over.set(id, 'done');
    for (const id of unpackIds(known.record.cancelled)) over.set(id, 'cancelled');
  }
  return over;
}

/** What this node knows of jobs that are over, by pages of its own, but for what others' pages say. */
function overs(
  finals: ReadonlyMap<string, Final>,
  told: ReadonlyMap<string, Final>,
  view: ReadonlyMap<string, Entry>,
  at: { node: string; valueBytes: number },
): Step[] {
  let page = 0;
  const left = [...finals].filter(([id]) => !told.has(id));
  const most = Math.max(1, Math.floor((at.valueBytes - SPARE_BYTES) / ID_BYTES));
  const steps: Step[] = [];
  for (let from = 0; from < left.length; from += most) {
    const some = left.slice(from, from + most);
    const of = (final: Final): string[] => some.flatMap(([id, status]) => (status === final ? [id] : []));
    const value: OverRecord = { done: packIds(of('done')), cancelled: packIds(of('cancelled')) };
    while (view.has(overKey(at.node, page))) page++;
    const key = overKey(at.node, page++);
    steps.push({ job: null, conditions: [{ key, version: 0 }], writes: [{ op: 'put', key, value }] });
  }
  return steps;
}
