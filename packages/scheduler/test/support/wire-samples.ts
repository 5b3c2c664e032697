import { Encoder } from 'cbor-x';
import { readFileSync } from 'node:fs';
import { parse as parseToml } from 'smol-toml';
import {
  decodeJob,
  decodeLiveRecord,
  decodeOpenJob,
  encodeLeadership,
  encodeMachines,
  encodeNode,
  encodeOpenJob,
  encodeProgress,
  encodeQuota,
} from '../../src/storage/record-codec.ts';
import { RecordPages } from '../../src/storage/record-pages.ts';
import {
  jobKey,
  LIVE_PREFIX,
  machinesPrefix,
  nodeKey,
  openJobKey,
  leadershipKey,
  progressPrefix,
  quotaKey,
  sliceCapacity,
  sliceName,
} from '../../src/storage/records.ts';
import type { LiveRecord } from '../../src/storage/records.ts';
import { TaskSet } from '../../src/storage/task-set.ts';
import { shardMap } from '../../src/coordination/leadership/shard-map.ts';
import { readOperatorSettings } from '../../src/operator-settings.ts';
import { cloudClient, CloudRefused } from '../../src/protocol/cloud.ts';
import { type ApiHandlers, httpApi, type HeartbeatReply } from '../../src/protocol/http-api.ts';
import { parseJson, stringifyJson } from '../../src/protocol/json.ts';
import { decodePeerMessage, encodePeerMessage } from '../../src/protocol/peer-message-codec.ts';
import {
  encodeCompareAndSwap,
  keyValueApi,
  RequestRejected,
  RevisionCompacted,
} from '../../src/protocol/key-value.ts';
import {
  userAnswers,
  decodeSubmission,
  encodeState,
  encodeView,
  isJobId,
  decodeSubmissionId,
} from '../../src/protocol/users.ts';
import {
  decodeHeartbeat,
  encodeCommands,
  encodeRedirect,
  encodeHeartbeatReply,
  type Command,
  parseTaskName,
  taskName,
  workerPaths,
} from '../../src/protocol/workers.ts';
import { readSettings } from '../../src/settings.ts';
import { type HttpClient, NoAnswer } from '../../src/transport/http-client.ts';

/**
 * Samples of all that leaves the scheduler or is read back by it, each as one text: stored records, messages between
 * peers, calls and answers, settings. characterization.test.ts compares them with what was recorded. Objects of
 * the wire are built without types here, so that renaming a type's field cannot rename what is sent.
 */

type Wire = Record<string, unknown>;
export type Samples = Record<string, () => string | Promise<string>>;

const codec = new Encoder({ useRecords: false }); // as transport/mesh.ts
const hex = (value: unknown): string => codec.encode(value).toString('hex');

/** The text, or how decoding failed. */
function attempt(run: () => string): () => string {
  return () => {
    try {
      return run();
    } catch (error) {
      return `throws ${error instanceof SyntaxError ? 'SyntaxError' : 'an error'}`;
    }
  };
}

function named<T>(prefix: string, cases: Record<string, T>, sample: (each: T) => string): Samples {
  return Object.fromEntries(
    Object.entries(cases).map(([name, each]) => [`${prefix}: ${name}`, attempt(() => sample(each))]),
  );
}

// --- stored records ---

const storedSpec: Wire = {
  id: 'j-12',
  class: 'short',
  team: 'red',
  kind: 'batch',
  priority: 2,
  tasks: 40,
  cores: 1.5,
  accelerators: 1,
  ramGb: 4,
  image: 'img',
  imageGb: 0.5,
  types: ['small', 'large'],
  zone: null,
  oneZone: false,
  spread: true,
  spot: true,
  estimateS: 12.5,
  checkpointS: 3,
  saveS: 1,
  deadlineS: 90,
};
const openJob: Wire = {
  spec: storedSpec,
  at: 1760000000123,
  slices: [
    { part: 'a.0', from: 0, count: 30 },
    { part: 'b.1', from: 30, count: 10 },
  ],
};
const machineRecord: Wire = { endpoint: '10.0.0.1:7000', type: 'small', zone: 'a', spot: true };
const amounts: Wire = { cores: 4.5, accelerators: 0 };

const live: Record<string, [string, unknown]> = {
  node: ['live/node/node-a', { incarnation: 'f00d', unreachable: ['a.0'], reaches: ['b.0', 'b.1'] }],
  'node of an older version, without reaches': ['live/node/node-a', { incarnation: 'f00d', unreachable: [] }],
  'node with a field of a newer version': [
    'live/node/node-a',
    { newer: 1, incarnation: 'f00d', unreachable: [], reaches: [] },
  ],
  'node that acknowledges ends': [
    'live/node/node-a',
    { incarnation: 'f00d', unreachable: [], reaches: [], seen: 83 },
  ],
  'node gone': ['live/node/node-a', undefined],
  'node malformed': ['live/node/node-a', { incarnation: 7, unreachable: [] }],
  'node null': ['live/node/node-a', null],
  part: ['live/part/a.0', { owner: 'node-a', incarnation: 'f00d', token: 7, layout: 'a/2 b/2' }],
  'part of an older version, without layout': [
    'live/part/a.0',
    { owner: 'node-a', incarnation: 'f00d', token: 7 },
  ],
  'part with several tokens': [
    'live/part/a.0',
    { owner: 'node-a', incarnation: 'f00d', token: 70, layout: 'a/2 b/2', tokens: 64 },
  ],
  'part gone': ['live/part/a.0', undefined],
  'part without token': ['live/part/a.0', { owner: 'node-a', incarnation: 'f00d', layout: '' }],
  machines: ['live/machines/a.0/3', { machines: { 'm-1': machineRecord, 'm-2': machineRecord } }],
  'machines, none': ['live/machines/a.0/3', { machines: {} }],
  'machines gone': ['live/machines/a.0/3', undefined],
  'machines malformed': ['live/machines/a.0/3', { machines: { 'm-1': { endpoint: 'x' } } }],
  progress: ['live/progress/a.0/0', { settled: { 'a.0/j-12/0': '/w==', 'a.0/j-13/1': '' } }],
  'progress gone': ['live/progress/a.0/0', undefined],
  'progress malformed': ['live/progress/a.0/0', { settled: ['x'] }],
  job: ['live/job/j-12', openJob],
  'job with a field of a newer version': ['live/job/j-12', { ...openJob, newer: true }],
  'job gone': ['live/job/j-12', undefined],
  'job of an unknown kind of work': ['live/job/j-12', { ...openJob, spec: { ...storedSpec, kind: 'other' } }],
  'job without slices': ['live/job/j-12', { spec: storedSpec, at: 1 }],
  quota: ['live/quota/red', { shares: { 'a.0': amounts, b: { cores: 1, accelerators: 2 } } }],
  'quota of a team with slashes': ['live/quota/red/x/y', { shares: {} }],
  'quota gone': ['live/quota/red', undefined],
  'quota malformed': ['live/quota/red', { shares: { a: { cores: 1 } } }],
  'a kind of another version': ['live/other/x', { anything: 1 }],
  'a key without a name': ['live/node', { incarnation: 'f00d', unreachable: [] }],
  'a key outside': ['job/j-1', { status: 'done', tasks: 1 }],
};

/** The record as it would be written back. */
function storedForm(read: LiveRecord): object | null {
  if (read.record === null) return null;
  switch (read.kind) {
    case 'node':
      return encodeNode(read.record);
    case 'leadership':
      return encodeLeadership(read.record);
    case 'machines':
      return encodeMachines(read.record);
    case 'progress':
      return encodeProgress(read.record);
    case 'job':
      return encodeOpenJob(read.record);
    case 'quota':
      return encodeQuota(read.record);
  }
}

function readLiveText([key, value]: [string, unknown]): string {
  const read = decodeLiveRecord(key, value);
  if (!read) return 'null';
  const of =
    read.kind === 'node'
      ? read.name
      : read.kind === 'job'
        ? read.id
        : read.kind === 'quota'
          ? read.team
          : read.shard;
  const kind = read.kind === 'leadership' ? 'part' : read.kind;
  const page = read.kind === 'machines' || read.kind === 'progress' ? read.key : '-';
  return `${kind} ${of} ${page} ${JSON.stringify(storedForm(read))}`;
}

function pagesText(): string {
  const pages = new RecordPages(machinesPrefix('a.0'), 100);
  pages.restore(`${machinesPrefix('a.0')}1`, 4, [['m-0', 60]]);
  pages.markDirty('m-1', 60, false);
  pages.markDirty('m-2', 60, true);
  pages.markDirty('m-3', 40, false);
  pages.remove('m-0');
  const order: string[] = [];
  for (let page = pages.nextToWrite(false); page; page = pages.nextToWrite(false)) {
    order.push(`${page.key} ${String(page.version)} ${[...page.reservedBytes.keys()].join(',')}`);
    page.dirty = page.urgent = false;
  }
  return order.join('; ');
}

function taskSetText(capacity: number, members: number[]): string {
  const set = new TaskSet(capacity);
  for (const each of members) set.add(each);
  const packed = set.encode();
  const back = new TaskSet(capacity, packed);
  const found = Array.from({ length: capacity }, (_, i) => i).filter((i) => back.has(i));
  return `"${packed}" ${String(TaskSet.countIn(packed, capacity))} ${String(back.full)} ${found.join(',')}`;
}

function partsText(zones: string[], controllers: number): string {
  const map = shardMap(zones, controllers);
  const ids = ['m-1', 'm-2', 'm-3', 'm-4', 'm-5', 'm-6', 'm-7'];
  const parts = ids.map((id, i) => map.shardOf({ id, zone: zones[i % zones.length] ?? '' }));
  const strange = map.shardOf({ id: 'm-1', zone: 'elsewhere' });
  return `${map.names.join(',')} | ${map.version} | ${parts.join(',')} | ${String(strange)} | ${map.names.map((n) => map.zoneOf(n)).join(',')}`;
}

const recordSamples: Samples = {
  'record keys': () =>
    [
      LIVE_PREFIX,
      nodeKey('node-a'),
      leadershipKey('a.0'),
      machinesPrefix('a.0'),
      progressPrefix('a.0'),
      openJobKey('j-1'),
      sliceName('a.0', 'j-1', 2),
      quotaKey('red'),
      jobKey('j-1'),
      taskName('j-1', 3),
    ].join(' '),
  ...named('record', live, readLiveText),
  ...named<unknown>(
    'ended job',
    {
      done: { status: 'done', tasks: 3 },
      cancelled: { status: 'cancelled', tasks: 0 },
      'of a newer version': { status: 'done', tasks: 3, newer: 1 },
      'of an unknown status': { status: 'lost', tasks: 3 },
      malformed: { status: 'done' },
      undefined: undefined,
    },
    (value) => JSON.stringify(decodeJob(value)),
  ),
  ...named<unknown>('open job', { whole: openJob, 'without time': { ...openJob, at: null } }, (value) =>
    JSON.stringify(encodeOpenJob(decodeOpenJob(value))),
  ),
  ...named('slice capacity of KiB', { 0: 0, 1: 1, 8: 8, 32: 32, 256: 256 }, (kb) =>
    String(sliceCapacity(kb)),
  ),
  ...named<[number, number[]]>(
    'task set',
    {
      empty: [9, []],
      first: [9, [0]],
      last: [9, [8]],
      outside: [9, [9, -1, 4]],
      full: [10, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]],
      scattered: [40, [1, 7, 8, 15, 16, 31, 39]],
    },
    ([capacity, members]) => taskSetText(capacity, members),
  ),
  ...named(
    'packed task set',
    { longer: '/////w==', 'not base64': '*?', 'beyond the capacity': '//8=' },
    (packed) => {
      const set = new TaskSet(10, packed);
      return `${String(set.size)} "${set.encode()}" ${String(TaskSet.countIn(packed, 10))}`;
    },
  ),
  pages: pagesText,
  ...named<[string[], number]>(
    'parts',
    {
      'one zone, one controller': [['a'], 1],
      'two zones, five controllers': [['a', 'b'], 5],
      'three zones, two controllers': [['a', 'b', 'c'], 2],
    },
    ([zones, controllers]) => partsText(zones, controllers),
  ),
};

// --- between peers ---

const partMessage: Wire = {
  kind: 'part',
  part: 'a.0',
  token: 7,
  idle: 2,
  average: 0.75,
  machines: 5,
  cores: 40,
  coming: 8,
  running: { 'j-12': 3 },
  kinds: {
    small: { open: 3, idle: 1, left: [{ cores: 2, accelerators: 0, ramGb: 8.5 }] },
    large: { open: 2, idle: 1 },
  },
  failing: ['j-9'],
  wants: { red: { cores: 3, accelerators: 0 } },
};
const without = (message: Wire, ...fields: string[]): Wire =>
  Object.fromEntries(Object.entries(message).filter(([name]) => !fields.includes(name)));

const meshMessages: Record<string, unknown> = {
  part: partMessage,
  'part in another order of fields': Object.fromEntries(Object.entries(partMessage).reverse()),
  'part of an older version, without kinds': without(partMessage, 'kinds'),
  'part of an older version, without failing': without(partMessage, 'failing'),
  'part of an older version, without both': without(partMessage, 'kinds', 'failing'),
  'part with a field of a newer version': { ...partMessage, newer: 1 },
  'part without wants': without(partMessage, 'wants'),
  handover: { kind: 'handover', part: 'a.0', token: 8, free: { 'a.0/j-12/0': '/w==' } },
  'handover without free': { kind: 'handover', part: 'a.0', token: 8 },
  beat: { kind: 'beat' },
  cancelled: { kind: 'cancelled', jobs: ['j-1', 'j-2'] },
  'cancelled at a revision': { kind: 'cancelled', jobs: ['j-1'], revision: 83 },
  'cancelled, malformed': { kind: 'cancelled', jobs: 'j-1' },
  done: { kind: 'done', job: 'j-1', revision: 83, tasks: 20 },
  'done without a revision': { kind: 'done', job: 'j-1', tasks: 20 },
  accepted: { kind: 'accepted', job: 'j-1', revision: 83 },
  'accepted at a revision above 2^53': { kind: 'accepted', job: 'j-1', revision: 18446744073709551615n },
  'accepted without a revision': { kind: 'accepted', job: 'j-1' },
  vouch: { kind: 'vouch', id: 'f00d/1', jobs: ['j-1'] },
  vouched: { kind: 'vouched', id: 'f00d/1', open: [['j-1', 5]], over: ['j-2'], none: [['j-3', 9]] },
  'vouched with versions above 2^53': {
    kind: 'vouched',
    id: 'f00d/1',
    open: [['j-1', 18446744073709551615n]],
    over: [],
    none: [['j-3', 9007199254740993n]],
  },
  'vouched with bounds of the ends': {
    kind: 'vouched',
    id: 'f00d/1',
    open: [['j-1', 5]],
    over: [],
    none: [['j-3', 9]],
    after: [
      ['j-1', 12],
      ['j-3', 8],
    ],
    upTo: 4,
  },
  'vouched with ends and read leases': {
    kind: 'vouched',
    id: 'f00d/1',
    open: [],
    over: ['j-2', 'j-3'],
    none: [],
    unread: ['j-3'],
    process: 'beef',
    lease: true,
    ends: [
      { job: 'j-4', status: 'done', tasks: 20, revision: 83 },
      { job: 'j-5', status: 'cancelled', tasks: 0 },
    ],
    leases: [['node-b', 'cafe', 7]],
  },
  'vouched with an unknown end': {
    kind: 'vouched',
    id: 'f00d/1',
    open: [],
    over: [],
    none: [],
    ends: [{ job: 'j-4', status: 'lost', tasks: 20 }],
  },
  'vouched with a fraction': { kind: 'vouched', id: 'f00d/1', open: [['j-1', 1.5]], over: [], none: [] },
  'ask submit': { kind: 'ask', id: 'f00d/2', op: 'submit', body: JSON.stringify(storedSpec) },
  'ask status': { kind: 'ask', id: 'f00d/3', op: 'status', body: '"j-12"' },
  'ask withdraw': { kind: 'ask', id: 'f00d/4', op: 'withdraw', body: '"j-12"' },
  'ask of an unknown request': { kind: 'ask', id: 'f00d/5', op: 'pause', body: '"j-12"' },
  answer: { kind: 'answer', id: 'f00d/2', status: 201, body: '{"id":"j-12","stato":"queued"}' },
  'answer of one that cannot tell': { kind: 'answer', id: 'f00d/2', status: 0, body: '' },
  'an unknown kind': { kind: 'newer', jobs: [] },
  'no kind': { part: 'a.0' },
  text: 'node-a',
  null: null,
};

/** Keys in the order in which the samples were recorded, which is not that in which a shard's status is sent. */
function inSchemaOrder(message: Wire): Wire {
  const first = Object.keys(partMessage).filter((key) => key in message);
  const others = Object.keys(message).filter((key) => !(key in partMessage));
  return Object.fromEntries([...first, ...others].map((key) => [key, message[key]]));
}

const meshSamples: Samples = named<unknown>('sibling', meshMessages, (message) => {
  const bytes = hex(message);
  const read = decodePeerMessage(codec.decode(Buffer.from(bytes, 'hex')));
  return `${bytes} => ${read ? hex(inSchemaOrder(encodePeerMessage(read))) : 'null'}`;
});

// --- users ---

const submission: Wire = {
  id: 'j-12',
  lot: 'short',
  ufficio: 'red',
  genere: 'batch',
  urgenza: 'standard',
  pratiche: 40,
  cores: 1.5,
  accelerators: 1,
  ram_gb: 4,
  stampo: 'img',
  size_gb: 0.5,
  modelli: ['small', 'large'],
  sede: 'a',
  same_place: false,
  apart: true,
  prestiti: true,
  stima_s: 12.5,
  salvataggio_s: 3,
  scrittura_s: 1,
  scadenza_s: 90,
};
const submissions: Record<string, unknown> = {
  whole: submission,
  'with nulls': { ...submission, modelli: null, sede: null, scadenza_s: null },
  'without what may be left out': without(submission, 'modelli', 'sede', 'scadenza_s'),
  'with an odd field': { ...submission, odd: { deep: [1] }, kind: 'gang' },
  standing: { ...submission, genere: 'standing' },
  gang: { ...submission, genere: 'gang' },
  'of an unknown kind': { ...submission, genere: 'service' },
  critical: { ...submission, urgenza: 'critical' },
  urgent: { ...submission, urgenza: 'urgent' },
  low: { ...submission, urgenza: 'low' },
  'of an unknown priority': { ...submission, urgenza: 'highest' },
  'without tasks': { ...submission, pratiche: 0 },
  'with half a task': { ...submission, pratiche: 1.5 },
  'with a number of tasks above 2^53': { ...submission, pratiche: 9007199254740993n },
  'with too many tasks': { ...submission, pratiche: 1e9 },
  'with most': { ...submission, cores: 1e9 },
  'with too much': { ...submission, cores: 1e9 + 1 },
  'with less than nothing': { ...submission, ram_gb: -1 },
  'with an id of 18 digits': { ...submission, id: 'j-123456789012345678' },
  'with an id of 19 digits': { ...submission, id: 'j-1234567890123456789' },
  'with another id': { ...submission, id: 'x-1' },
  'with an empty team': { ...submission, ufficio: '' },
  'with an empty list of types': { ...submission, modelli: [] },
  ...Object.fromEntries(
    Object.keys(submission).map((field) => [`without ${field}`, without(submission, field)]),
  ),
  array: [submission],
  undefined: undefined,
};
const statuses = ['queued', 'running', 'done', 'cancelled'] as const;

const userSamples: Samples = {
  ...named<unknown>('submission', submissions, (body) => {
    const spec = decodeSubmission(body);
    return `${spec ? JSON.stringify(spec) : 'null'} ${String(decodeSubmissionId(body))}`;
  }),
  'job states': () =>
    statuses
      .flatMap((status) => [
        stringifyJson(encodeState('j-1', status)),
        stringifyJson(encodeView({ id: 'j-1', status, done: 2, running: 3 })),
      ])
      .join(' '),
  'users’ answers': () =>
    [userAnswers.malformed, userAnswers.notFound, userAnswers.tooLarge, userAnswers.undecided]
      .map((answer) => `${String(answer.status)} ${stringifyJson(answer.body)}`)
      .join(' '),
  'job ids': () =>
    ['j-1', 'j-', 'j-1x', 'J-1', 'j-000', 'j-1\n', 'j-1234567890123456789']
      .map((id) => isJobId(id))
      .join(' '),
};

// --- workers ---

const report: Wire = {
  banco: 'm-1',
  endpoint: '10.0.0.1:7000',
  modello: 'small',
  sede: 'a',
  prestiti: true,
  turno: 3,
  progressivo: 44,
  mandato: 7,
  preavviso_s: 9.5,
  pratiche: [
    ...['fetching', 'running', 'gathering', 'flushing', 'odd'].map((stato, i) => ({
      pratica: `j-12/${String(i)}`,
      tentativo: i + 1,
      stato,
    })),
    ...['done', 'stopped', 'error', 'full', 'busy', 'no_such', 'peers', 'alone', 'odd', null].map(
      (causale, i) => ({ pratica: `j-13/${String(i)}`, tentativo: 1, stato: 'ended', causale }),
    ),
    { pratica: 'j-14/0', tentativo: 1, stato: 'ended' },
    { pratica: 'j-14/1', tentativo: 1, stato: 'running', causale: 'done' },
  ],
};
const reports: Record<string, unknown> = {
  whole: report,
  'without what may be left out': without(report, 'prestiti', 'mandato', 'preavviso_s', 'pratiche'),
  'with nulls': { ...report, prestiti: null, mandato: null, preavviso_s: null, pratiche: null },
  'with numbers above 2^53': {
    ...report,
    turno: 18446744073709551615n,
    progressivo: 9007199254740993n,
    mandato: 9007199254740995n,
    pratiche: [{ pratica: 'j-1/0', tentativo: 9007199254740997n, stato: 'running' }],
  },
  'with an odd field': { ...report, odd: 1 },
  'without machine': without(report, 'banco'),
  'without endpoint': without(report, 'endpoint'),
  'without session': without(report, 'turno'),
  'with a fraction of a session': { ...report, turno: 1.5 },
  'with a task without a name': { ...report, pratiche: [{ tentativo: 1, stato: 'running' }] },
  undefined: undefined,
};

function reportText(body: unknown): string {
  const read = decodeHeartbeat(body);
  if (!read) return 'null';
  const {
    machine,
    endpoint,
    type,
    zone,
    spot,
    agentEpoch,
    sequence,
    fencingToken,
    preemptionNoticeS,
    tasks,
  } = read;
  const about = [machine, endpoint, type, zone, spot, agentEpoch, sequence, fencingToken, preemptionNoticeS]
    .map(String)
    .join(' ');
  const each = tasks.map((t) => [t.task, t.attempt, t.state, t.reason].map(String).join(' '));
  return `${about}; ${each.join(', ')}`;
}

const orders: Command[] = [
  { op: 'launch', task: 'j-12/3', attempt: 2 },
  { op: 'stop', task: 'j-12/4', attempt: 1, graceS: 0 },
  { op: 'stop', task: 'j-12/5', attempt: 9007199254740993n, graceS: 2.5 },
  { op: 'forget', task: 'j-12/6', attempt: 1 },
  { op: 'forget', task: 'j-12/7', attempt: 18446744073709551615n },
];

const workerSamples: Samples = {
  ...named<unknown>('report', reports, reportText),
  'answer to a report': () => stringifyJson(encodeHeartbeatReply(7, orders)),
  'answer to a report without orders': () => stringifyJson(encodeHeartbeatReply(7, [])),
  redirects: () => `${stringifyJson(encodeRedirect('node-b'))} ${stringifyJson(encodeRedirect(null))}`,
  commands: () => stringifyJson(encodeCommands(7, 3, orders)),
  'commands to a session above 2^53': () => stringifyJson(encodeCommands(7, 18446744073709551615n, [])),
  'worker paths': () => `${workerPaths.commands} ${workerPaths.inspect}`,
  ...named(
    'task name',
    { plain: 'j-1/3', deep: 'a/b/12', 'without index': 'j-1', long: 'j-1/1234567890', empty: '/1' },
    (name) => {
      const read = parseTaskName(name);
      return read ? `${read.job} ${String(read.index)}` : 'null';
    },
  ),
};

// --- routes ---

const requests: Record<string, [string, string, string | null]> = {
  ready: ['GET', '/ready', ''],
  'ready, posted': ['POST', '/ready', ''],
  'a submission': ['POST', '/v1/jobs', JSON.stringify(submission)],
  'a malformed submission of an unknown job': ['POST', '/v1/jobs', '{"id":"j-404"}'],
  'a malformed submission of a known job': ['POST', '/v1/jobs', '{"id":"j-12"}'],
  'a submission that is no JSON': ['POST', '/v1/jobs', '{'],
  'a submission that is too large': ['POST', '/v1/jobs', null],
  'a submission that fails': ['POST', '/v1/jobs', JSON.stringify({ ...submission, id: 'j-500' })],
  'a poll': ['GET', '/v1/jobs/j-12', ''],
  'a poll of an unknown job': ['GET', '/v1/jobs/j-404', ''],
  'a poll that cannot be decided': ['GET', '/v1/jobs/j-503', ''],
  'a poll of what is no job': ['GET', '/v1/jobs/x', ''],
  'a poll without a job': ['GET', '/v1/jobs/', ''],
  'a cancellation': ['POST', '/v1/jobs/j-12/withdraw', ''],
  'a cancellation by GET': ['GET', '/v1/jobs/j-12/withdraw', ''],
  'a cancellation of what is no job': ['POST', '/v1/jobs/x/withdraw', '{}'],
  'a report': ['POST', '/checkin', JSON.stringify(report)],
  'a report to another node': ['POST', '/checkin', JSON.stringify({ ...report, banco: 'moved' })],
  'a report to nobody known': ['POST', '/checkin', JSON.stringify({ ...report, banco: 'lost' })],
  'a report too early': ['POST', '/checkin', JSON.stringify({ ...report, banco: 'early' })],
  'a malformed report': ['POST', '/checkin', '{"banco":"m-1"}'],
  'an unknown route': ['GET', '/metrics', ''],
  'an unknown route with too large a body': ['POST', '/metrics', null],
};

const reportAnswers: Record<string, HeartbeatReply> = {
  moved: { kind: 'redirect', node: 'node-b' },
  lost: { kind: 'redirect', node: null },
  early: { kind: 'unavailable' },
};

function api(ready: boolean): ReturnType<typeof httpApi> {
  const handlers: ApiHandlers = {
    submit: (spec) =>
      spec.id === 'j-500'
        ? Promise.reject(new Error('inside'))
        : Promise.resolve({ status: 201, body: encodeState(spec.id, 'queued') }),
    status: (id) =>
      Promise.resolve(
        id === 'j-404'
          ? userAnswers.notFound
          : id === 'j-503'
            ? userAnswers.undecided
            : { status: 200, body: encodeView({ id, status: 'running', done: 1, running: 2 }) },
      ),
    cancel: (id) => Promise.resolve({ status: 200, body: encodeState(id, 'cancelled') }),
    heartbeat: ({ machine }) =>
      reportAnswers[machine] ?? { kind: 'commands', fencingToken: 7, commands: orders },
    ready: () => ready,
  };
  return httpApi(handlers);
}

const routeSamples: Samples = Object.fromEntries(
  [true, false].flatMap((ready) =>
    Object.entries(requests)
      .filter(([name]) => ready || name === 'ready')
      .map(([name, [method, path, body]]) => [
        `route: ${name}${ready ? '' : ', not yet'}`,
        async (): Promise<string> => {
          const reply = await api(ready)({ method, path, body });
          return `${String(reply.status)} ${String(reply.retryAfterS ?? '-')} ${reply.body}`;
        },
      ]),
  ),
);

// --- cloud and key-value store ---

type Reply = [status: number, body: string] | null;

/** The calls made, and their results; a null reply stands for no response. */
async function called(
  replies: Reply[],
  run: (http: HttpClient, address: string, signal: AbortSignal) => Promise<string>,
): Promise<string> {
  const calls: string[] = [];
  const http: HttpClient = (call) => {
    calls.push(`${call.address} ${call.method} ${call.path} ${String(call.deadlineMs)} ${call.body ?? '-'}`);
    const reply = replies.shift();
    if (!reply) return Promise.reject(new NoAnswer('none'));
    return Promise.resolve({ status: reply[0], text: reply[1] });
  };
  const result = await run(http, 'x:1', new AbortController().signal).catch((error: unknown) => {
    const what =
      error instanceof CloudRefused
        ? 'refused by the cloud'
        : error instanceof RequestRejected
          ? 'refused by the store'
          : error instanceof RevisionCompacted
            ? 'too old'
            : error instanceof NoAnswer
              ? 'no answer'
              : 'another error';
    return what === 'another error' ? what : `${what}: ${(error as Error).message}`;
  });
  return `${calls.join(' | ')} => ${result}`;
}

const catalogReply = JSON.stringify({
  modelli: [
    {
      name: 's',
      cores: 8,
      accelerators: 2,
      ram_gb: 32,
      local_gb: 20,
      rate: 0.4,
      low_price: 0.1,
      ready_s: 12,
      sedi: ['a'],
    },
    { name: 'l', cores: 16, ram_gb: 64, rate: 0.8, ready_s: 10, sedi: [], odd: 1 },
    {
      name: 'n',
      cores: 1,
      accelerators: null,
      ram_gb: 1,
      local_gb: null,
      rate: 1,
      low_price: null,
      ready_s: 1,
      sedi: ['b'],
    },
  ],
});
const hostsReply = (truncated?: boolean | null): string =>
  JSON.stringify({
    banchi: ['booting', 'running', 'failed', 'odd'].map((stato, i) => ({
      id: `m-${String(i)}`,
      ...(i === 0 ? {} : { endpoint: i === 1 ? null : '10.0.0.1:7' }),
      modello: 's',
      sede: 'a',
      ...(i === 0 ? {} : { prestiti: i === 1 ? null : true }),
      stato,
      age_s: i + 0.5,
    })),
    ...(truncated === undefined ? {} : { truncated }),
  });

const cloudSample =
  (replies: Reply[], use: (cloud: ReturnType<typeof cloudClient>) => Promise<string>) =>
  (): Promise<string> =>
    called([...replies], (http, address, signal) =>
      use(cloudClient({ http, address, deadlineMs: 1500, signal })),
    );
const catalogText = async (cloud: ReturnType<typeof cloudClient>): Promise<string> =>
  (await cloud.catalog())
    .map((t) =>
      [
        t.name,
        t.cores,
        t.accelerators,
        t.ramGb,
        t.localGb,
        t.price,
        t.spotPrice,
        t.bootS,
        t.zones.join('+'),
      ].join(' '),
    )
    .join('; ');
const listText =
  (after: string | null) =>
  async (cloud: ReturnType<typeof cloudClient>): Promise<string> => {
    const { machines, more } = await cloud.list(after);
    const each = machines.map((m) => [m.id, m.endpoint, m.type, m.zone, m.spot, m.state, m.ageS].join(' '));
    return `${each.join('; ')} ${String(more)}`;
  };
const rentText = async (cloud: ReturnType<typeof cloudClient>): Promise<string> => {
  const result = await cloud.createMachines({ name: 'r-1', type: 's', zone: 'a', spot: true, count: 3 });
  return result.kind === 'created' ? `rented ${result.machines.join('+')}` : result.kind;
};
const giveBackText = async (cloud: ReturnType<typeof cloudClient>): Promise<string> => {
  const results: unknown[] = await Promise.all([cloud.terminateMachines(['m-1', 'm-2'])]);
  return String(results[0]);
};

const cloudSamples: Samples = {
  'cloud: catalog': cloudSample([[200, catalogReply]], catalogText),
  'cloud: catalog refused': cloudSample([[429, '{}']], catalogText),
  'cloud: catalog malformed': cloudSample([[200, '{}']], catalogText),
  'cloud: catalog that is no JSON': cloudSample([[200, '']], catalogText),
  'cloud: no answer': cloudSample([null], catalogText),
  'cloud: list': cloudSample([[200, hostsReply()]], listText(null)),
  'cloud: list, more': cloudSample([[200, hostsReply(true)]], listText('m 1/ä&')),
  'cloud: list, null': cloudSample([[200, hostsReply(null)]], listText('m-1')),
  'cloud: list refused': cloudSample([[503, '{}']], listText(null)),
  'cloud: rent': cloudSample([[200, '{"banchi":["m-1","m-2"],"odd":1}']], rentText),
  'cloud: rent, no capacity': cloudSample([[503, '{"error":"no capacity"}']], rentText),
  'cloud: rent, no capacity by another status': cloudSample([[429, '{"error":"no capacity"}']], rentText),
  'cloud: rent refused': cloudSample([[503, '{}']], rentText),
  'cloud: rent refused with null': cloudSample([[400, 'null']], rentText),
  'cloud: give back': cloudSample([[200, '{}']], giveBackText),
  'cloud: give back refused': cloudSample([[503, '{}']], giveBackText),
};

type Store = ReturnType<typeof keyValueApi>;
const storeSample = (replies: Reply[], use: (store: Store) => Promise<string>) => (): Promise<string> =>
  called([...replies], (http, address, signal) =>
    use(keyValueApi({ http, address, deadlineMs: 1500, signal })),
  );
const getText = async (store: Store): Promise<string> => {
  const entry = await store.get('live/node/a');
  return entry ? `${entry.key} ${stringifyJson(entry.value)} ${String(entry.version)}` : 'null';
};
const pageText =
  (after: string | null) =>
  async (store: Store): Promise<string> => {
    const { entries, more, revision } = await store.list('live/', after);
    const each = entries.map((e) => `${e.key} ${stringifyJson(e.value)} ${String(e.version)}`);
    return `${each.join('; ')} ${String(more)} ${String(revision)}`;
  };
const txnText = async (store: Store): Promise<string> => {
  const result = await store.compareAndSwap(
    [
      { key: 'live/node/a', version: 0 },
      { key: 'live/part/a', version: 9007199254740993n },
    ],
    [
      { op: 'put', key: 'live/node/a', value: { x: 1 }, lease: 18446744073709551615n },
      { op: 'put', key: 'live/part/a', value: {} },
      { op: 'delete', key: 'live/job/j-1' },
    ],
  );
  if (result.kind === 'committed') return `committed ${String(result.revision)}`;
  return result.kind === 'conflict' ? `conflict ${result.failed.join('+')}` : result.kind;
};
const followText = async (store: Store): Promise<string> => {
  const { revision, events } = await store.watch('live/', 9007199254740993n, 2000);
  const each = events.map((e) =>
    e.op === 'put'
      ? `put ${e.key} ${stringifyJson(e.value)} ${String(e.version)}`
      : `delete ${e.key} ${String(e.version)}`,
  );
  return `${each.join('; ')} ${String(revision)}`;
};
const big = '18446744073709551615';

const storeSamples: Samples = {
  'store: get': storeSample([[200, `{"key":"live/node/a","v":{"x":[1]},"edizione":${big}}`]], getText),
  'store: get nothing': storeSample([[404, '']], getText),
  'store: get refused': storeSample([[429, '{}']], getText),
  'store: get, away': storeSample([[503, '{}']], getText),
  'store: get, other status': storeSample([[500, '{}']], getText),
  'store: get, not JSON': storeSample([[200, '{']], getText),
  'store: get, malformed': storeSample([[200, '{"key":"k"}']], getText),
  'store: list': storeSample(
    [[200, '{"items":[{"key":"live/a","v":null,"edizione":3}],"truncated":true,"protocollo":9}']],
    pageText('live/a'),
  ),
  'store: list, last page': storeSample([[200, `{"items":[],"protocollo":${big}}`]], pageText(null)),
  'store: transaction': storeSample([[200, `{"protocollo":${big}}`]], txnText),
  'store: transaction, conflict': storeSample([[409, '{"failed":["live/node/a"]}']], txnText),
  'store: transaction, conflict of unknown keys': storeSample([[409, '{}']], txnText),
  'store: transaction, no lease': storeSample([[400, '{"error":"no such lease"}']], txnText),
  'store: transaction, malformed': storeSample([[400, '{"error":"malformed"}']], txnText),
  'store: transaction without an answer': storeSample([null], txnText),
  'store: empty transaction': () => encodeCompareAndSwap([], []),
  'store: grant': storeSample([[200, `{"concessione":${big}}`]], async (s) =>
    String(await s.grantLease(4500)),
  ),
  'store: grant refused': storeSample([[503, '']], async (s) => String(await s.grantLease(4500))),
  'store: extend': storeSample([[200, '{}']], async (s) => String(await s.renewLease(18446744073709551615n))),
  'store: extend, over': storeSample([[404, '{}']], async (s) => String(await s.renewLease(5))),
  'store: extend, other status': storeSample([[400, '{}']], async (s) => String(await s.renewLease(5))),
  'store: follow': storeSample(
    [
      [
        200,
        `{"protocollo":12,"events":[{"put":"live/a","v":{"n":${big}},"edizione":11},{"remove":"live/b","edizione":12}]}`,
      ],
    ],
    followText,
  ),
  'store: follow, nothing': storeSample([[200, '{"protocollo":12,"events":[]}']], followText),
  'store: follow, an event without key': storeSample(
    [[200, '{"protocollo":12,"events":[{"edizione":12}]}']],
    followText,
  ),
  'store: follow, too old': storeSample([[410, '{}']], followText),
};

// --- numbers ---

const jsonSamples: Samples = named(
  'JSON',
  {
    plain: '{"a":1,"b":[true,null,"x"]}',
    'the largest safe': '9007199254740991',
    'above 2^53': '{"a":9007199254740993,"b":-9007199254740993}',
    '2^64 - 1': '[18446744073709551615]',
    'a long fraction': '0.12345678901234567890',
    'long digits in a text': '"12345678901234567890"',
    'an exponent': '[1e3,12345678901234567e2]',
    'not JSON': '{a}',
    'not JSON, with long digits': '{12345678901234567890',
    empty: '',
  },
  (text) => stringifyJson(parseJson(text)),
);

// --- settings ---

const fixture = (name: string): string =>
  readFileSync(new URL(`../fixtures/${name}`, import.meta.url), 'utf8');
const exampleXml = readFileSync(new URL('../../../../deploy/operator.example.xml', import.meta.url), 'utf8');
export const settingsToml = fixture('settings.toml');

function settingsText(toml: string): string {
  const s = readSettings(parseToml(toml, { integersAsBigInt: false }));
  const teams = [...s.teams].map(([name, t]) =>
    [name, t.name, t.cores, t.accelerators, t.maxCores, t.maxAccelerators].join(' '),
  );
  const aims = [...s.objectives].map(
    ([name, each]) =>
      `${name} ${each.map((a) => (a.kind === 'finished' ? `${a.kind} ${String(a.withinMs)}` : `${a.kind} ${String(a.times)}`)).join('+')}`,
  );
  return [
    [s.node, s.zone, s.listen, s.meshListen, s.cloud, s.keyValueStore].join(' '),
    s.peers.map((p) => `${p.name} ${p.zone} ${p.mesh}`).join(', '),
    s.zones.join(' '),
    teams.join(', '),
    aims.join(', '),
    [s.heartbeatIntervalMs, s.leaseMs, s.cancelMs].join(' '),
    [s.storeRps, s.storeWriteRps, s.valueKb, s.txnOps].join(' '),
    [s.cloudRps, s.listLagMs, s.cores, s.sockets].join(' '),
  ].join(' | ');
}

const line = (text: string): string => text.split('\n')[0] ?? '';
/** The settings' values, or the first line of the error. */
const orError = (run: () => string) => (): string => {
  try {
    return run();
  } catch (error) {
    return `error: ${line(error instanceof Error ? error.message : String(error))}`;
  }
};

const minimalToml = `node_name = "n"
zone = "a"
listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
endpoints = { cloud = "127.0.0.1:3", state = "127.0.0.1:4" }
[deployment]
zones = ["a"]
workers = { report_s = 2, lease_s = 16, cancel_s = 40 }
state = { rps = 100, write_rps = 90, value_kb = 8, txn_ops = 12 }
cloud = { rps = 10 }
`;
const changed: Record<string, [string, string]> = {
  'without node_name': ['node_name = "n"\n', ''],
  'with an empty node_name': ['"n"', '""'],
  'with a zone that is a number': ['zone = "a"', 'zone = 1'],
  'with a listen address without port': ['"127.0.0.1:1"', '"127.0.0.1"'],
  'with a host name': ['"127.0.0.1:2"', '"localhost:2"'],
  'without endpoints': ['endpoints =', 'other ='],
  'without zones': ['zones = ["a"]', 'zones = []'],
  'with a lease of 0': ['lease_s = 16', 'lease_s = 0'],
  'with a negative rate': ['rps = 100', 'rps = -1'],
  'with a cancel_s that is too short': ['cancel_s = 40', 'cancel_s = 20'],
  'without cloud': ['cloud = { rps = 10 }\n', ''],
  'with a rate that is a text': ['rps = 10 ', 'rps = "10" '],
  'that are no TOML': ['zone = "a"', 'zone = '],
  'with an unknown field': ['zone = "a"', 'zone = "a"\nodd = 1'],
};

const xmls: Record<string, string> = {
  'the example': exampleXml,
  'every element left out': '<onyxkeel/>',
  'an empty log': '<onyxkeel><log></log></onyxkeel>',
  debug: '<onyxkeel><log><level>debug</level></log></onyxkeel>',
  'an unknown element': '<onyxkeel><odd>1</odd><log><odd/><level>warn</level></log></onyxkeel>',
  'an attribute': '<onyxkeel a="1"><log level="warn"><level>error</level></log></onyxkeel>',
  'an unknown level': '<onyxkeel><log><level>loud</level></log></onyxkeel>',
  'two levels': '<onyxkeel><log><level>info</level><level>warn</level></log></onyxkeel>',
  'another root': '<other/>',
  'no end tag': '<onyxkeel>\n<log>\n</onyxkeel>',
  empty: '',
  text: 'level = info',
};

const settingsSamples: Samples = {
  'settings: full': orError(() => settingsText(settingsToml)),
  'settings: least': orError(() => settingsText(minimalToml)),
  ...Object.fromEntries(
    Object.entries(changed).map(([name, [from, to]]) => [
      `settings: ${name}`,
      orError(() => {
        if (!minimalToml.includes(from)) throw new Error(`sample without ${from}`);
        return settingsText(minimalToml.replace(from, to));
      }),
    ]),
  ),
  ...Object.fromEntries(
    Object.entries(xmls).map(([name, text]) => [
      `operators’ settings: ${name}`,
      orError(() => String(readOperatorSettings(text).logLevel)),
    ]),
  ),
};

export const samples: Record<string, Samples> = {
  'stored records': recordSamples,
  'messages between siblings': meshSamples,
  'users’ requests and answers': userSamples,
  'workers’ reports and orders': workerSamples,
  routes: routeSamples,
  'calls to the cloud': cloudSamples,
  'calls to the key-value store': storeSamples,
  'JSON numbers': jsonSamples,
  settings: settingsSamples,
};
