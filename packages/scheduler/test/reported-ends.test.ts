import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { END_ACKNOWLEDGEMENT_BATCH, READ_LEASE_MS } from '../src/constants.ts';
import {
  EndAcknowledgements,
  REPORT_WITHOUT_MAJORITY_MS,
} from '../src/coordination/jobs/end-acknowledgements.ts';
import { EndReporting } from '../src/coordination/jobs/end-reporting.ts';
import { FinishedJobs } from '../src/coordination/jobs/finished-jobs.ts';
import { Membership } from '../src/coordination/leadership/membership.ts';
import { ObservationResponder } from '../src/coordination/leadership/observation-responder.ts';
import { PeerReadLeases } from '../src/coordination/leadership/peer-read-leases.ts';
import {
  type JobObservation,
  type NodeObservation,
  reasonUndecided,
  type UndecidedReason,
} from '../src/coordination/leadership/unreported-end.ts';
import { PeerChannel, type PeerTransport } from '../src/coordination/peer-channel.ts';
import { decodePeerMessage } from '../src/protocol/peer-message-codec.ts';
import type { ObservationReply, ReadLease } from '../src/protocol/peer-messages.ts';
import { FakeClock } from './support/fakes.ts';

const emptyReply: ObservationReply = {
  kind: 'observationReply',
  requestId: '',
  open: [],
  over: [],
  none: [],
  unread: [],
  endedAfter: [],
  forgottenEndsUpTo: 0,
  incarnation: 'b1',
  grantsReadLease: true,
  ends: [],
  readLeases: [],
};

describe('an end may be reported', () => {
  function startNode(majority: number): { clock: FakeClock; ends: EndAcknowledgements } {
    const clock = new FakeClock();
    return { clock, ends: new EndAcknowledgements(clock, { self: 'a', majority }) };
  }

  it('once a majority knows it, the node that told it included', () => {
    const { ends } = startNode(3);
    ends.onLearned('j-1', 'b', 5);
    assert.ok(!ends.isReportable('j-1'));
    ends.onAcknowledged('j-1', 'b');
    assert.ok(!ends.isReportable('j-1'), 'an acknowledgement that is repeated counts once');
    ends.onAcknowledged('j-1', 'c');
    assert.ok(ends.isReportable('j-1'));
    assert.deepEqual(ends.jobs(9), []);
  });

  it('once the records of a majority show that they have seen it', () => {
    const { ends } = startNode(3);
    ends.onLearned('j-1', 'a', 5);
    ends.onSeen('b', 4);
    ends.onSeen('c', 6);
    assert.ok(!ends.isReportable('j-1'));
    ends.onSeen('b', 5);
    assert.ok(ends.isReportable('j-1'));
    ends.onLearned('j-2', 'a', 5);
    assert.ok(ends.isReportable('j-2'), 'an end that is learned later');
    ends.onLearned('j-3', 'a', null);
    assert.ok(!ends.isReportable('j-3'), 'an unknown revision may be later');
  });

  it('without a majority only after every read lease granted before has expired', async () => {
    const { clock, ends } = startNode(2);
    ends.onLearned('j-1', 'a', 5);
    await clock.advance(READ_LEASE_MS * 1.001);
    assert.ok(!ends.isReportable('j-1'), 'the clocks of two machines may differ in rate');
    await clock.advance(REPORT_WITHOUT_MAJORITY_MS - READ_LEASE_MS * 1.001);
    assert.ok(ends.isReportable('j-1'));
    assert.deepEqual(ends.jobsUnknownTo('b'), ['j-1'], 'peers are still told');
  });

  it('at once by the only node of a deployment', () => {
    const { ends } = startNode(1);
    ends.onLearned('j-1', 'a', 5);
    assert.ok(ends.isReportable('j-1'));
  });
});

describe('read leases of a peer', () => {
  function startLeases(): {
    clock: FakeClock;
    cache: { confirmedAt: number; currentRevision: number };
    renew: (reply?: Partial<ObservationReply>) => void;
    unbroken: () => ReadLease[];
  } {
    const clock = new FakeClock();
    const cache = { confirmedAt: -Infinity, currentRevision: 7 };
    const leases = new PeerReadLeases({ clock, watchCache: cache });
    let requests = 0;
    const renew = (reply: Partial<ObservationReply> = {}): void => {
      const requestId = String(++requests);
      leases.onRequested(requestId);
      leases.onReply('b', { ...emptyReply, requestId, ...reply });
    };
    return { clock, cache, renew, unbroken: () => leases.unbroken() };
  }
  const lease = (incarnation: string, fromRevision: number): ReadLease => ({
    node: 'b',
    incarnation,
    fromRevision,
  });

  it('begin at a revision of the key-value store that is confirmed after the first request', () => {
    const { clock, cache, renew, unbroken } = startLeases();
    cache.confirmedAt = clock.now() - 1;
    renew();
    assert.deepEqual(unbroken(), []);
    cache.confirmedAt = clock.now();
    cache.currentRevision = 8;
    assert.deepEqual(unbroken(), [lease('b1', 8)]);
    cache.currentRevision = 9;
    assert.deepEqual(unbroken(), [lease('b1', 8)]);
  });

  it('go on over a restart within the lease, and begin anew after a later one', async () => {
    const { clock, cache, renew, unbroken } = startLeases();
    cache.confirmedAt = clock.now();
    renew();
    cache.currentRevision = 20;
    await clock.advance(READ_LEASE_MS - 1);
    renew({ incarnation: 'b2' });
    assert.deepEqual(unbroken(), [lease('b2', 7)]);
    await clock.advance(READ_LEASE_MS);
    renew({ incarnation: 'b3' });
    assert.deepEqual(unbroken(), [], 'nothing is confirmed since');
    cache.confirmedAt = clock.now();
    assert.deepEqual(unbroken(), [lease('b3', 20)]);
  });

  it('are not renewed by replies to earlier requests, or by replies that do not list all ends', async () => {
    const { clock, cache, renew, unbroken } = startLeases();
    cache.confirmedAt = clock.now();
    renew();
    await clock.advance(READ_LEASE_MS / 2);
    renew({ requestId: 'earlier' });
    renew({ grantsReadLease: false });
    await clock.advance(READ_LEASE_MS / 2);
    renew({ incarnation: 'b2' });
    assert.deepEqual(unbroken(), []);
  });

  it('end with a reply of an older version, which reports ends at once', async () => {
    const { clock, cache, renew, unbroken } = startLeases();
    cache.confirmedAt = clock.now();
    renew();
    await clock.advance(1);
    renew({ incarnation: null });
    renew({ incarnation: 'b2' });
    assert.deepEqual(unbroken(), []);
  });
});

describe('a request for acknowledgements', () => {
  // A lease counts from the request: recorded later, it would last beyond what the peer has promised.
  it('is recorded for the read leases before any peer can reply', () => {
    const clock = new FakeClock();
    const readLeases = new PeerReadLeases({
      clock,
      watchCache: { confirmedAt: clock.now(), currentRevision: 7 },
    });
    const endAcknowledgements = new EndAcknowledgements(clock, { self: 'a', majority: 2 });
    const sendToPeer: PeerTransport['sendToPeer'] = (peer, message) => {
      const { requestId } = decodePeerMessage(message) as ObservationReply;
      readLeases.onReply(peer, { ...emptyReply, requestId });
      return true;
    };
    const reporting = new EndReporting({
      clock,
      signal: new AbortController().signal,
      self: { name: 'a', zone: 'z', incarnation: 'a1' },
      membership: new Membership({ name: 'a', zone: 'z', incarnation: 'a1' }, '', clock),
      peers: new PeerChannel({ sendToPeer, connectedPeers: () => ['b'] }, ['b']),
      finishedJobs: new FinishedJobs(endAcknowledgements),
      endAcknowledgements,
      readLeases,
    });
    reporting.renew();
    assert.deepEqual(readLeases.unbroken(), [{ node: 'b', incarnation: 'b1', fromRevision: 7 }]);
  });
});

describe('the end of a job is unreported', () => {
  const open: JobObservation = { kind: 'open', version: 5, endedAfter: 9 };
  const unread: JobObservation = { kind: 'unread', forgottenEndsUpTo: 0 };
  const none = (forgottenEndsUpTo: number): JobObservation => ({
    kind: 'none',
    asOf: 12,
    endedAfter: 0,
    forgottenEndsUpTo,
  });
  /** The node knows that the job was accepted at revision 9, and its watch cache is at `asOf`. */
  const accepted = (asOf: number): JobObservation => ({
    kind: 'none',
    asOf,
    endedAfter: 9,
    forgottenEndsUpTo: 1,
  });
  const leaseOfC: ReadLease = { node: 'c', incarnation: 'c1', fromRevision: 9 };

  function observe(observations: JobObservation[], readLeases: ReadLease[] = [leaseOfC]): NodeObservation[] {
    return observations.map((observation, index) => {
      const node = 'abcde'.charAt(index);
      return { node, incarnation: `${node}1`, observation, readLeases: index === 0 ? readLeases : [] };
    });
  }

  const cases: [what: string, nodes: NodeObservation[], expected: UndecidedReason | null][] = [
    ['if all have it open, or have forgotten no later end', observe([open, none(9), open]), null],
    ['unless one may have reported a later end', observe([open, none(10), open]), 'possiblyReported'],
    ['unless one knows the end', observe([open, { kind: 'over' }, open]), 'possiblyReported'],
    ['only if one has seen it open', observe([none(0), none(0), none(0)]), 'neverSeenOpen'],
    ['if a restarted node is covered by a lease', observe([open, open, unread]), null],
    [
      'unless the lease began later',
      observe([open, open, unread], [{ ...leaseOfC, fromRevision: 10 }]),
      'noReadLease',
    ],
    [
      'unless the lease is of another process',
      observe([open, open, unread], [{ ...leaseOfC, incarnation: 'c0' }]),
      'noReadLease',
    ],
    [
      'unless the lease is of another node',
      observe([open, open, unread], [{ ...leaseOfC, node: 'b' }]),
      'noReadLease',
    ],
    [
      'unless the restarted process may have reported it',
      observe([open, open, { ...unread, forgottenEndsUpTo: 10 }]),
      'possiblyReported',
    ],
    [
      'unless a majority may have seen the open record deleted',
      observe([open, none(9), unread]),
      'majorityMayKnow',
    ],
    ['if one knows that the job was accepted', observe([none(1), accepted(8), none(1)]), null],
    [
      'unless another may have reported an end since',
      observe([none(10), accepted(8), none(1)]),
      'possiblyReported',
    ],
    [
      'if no cache has reached the acceptance, and a node restarted',
      observe([accepted(8), accepted(9), unread]),
      null,
    ],
    [
      'unless a cache may have shown the end to a majority',
      observe([accepted(8), accepted(10), unread]),
      'majorityMayKnow',
    ],
    ['unless a majority may have known it', observe([open, none(10), unread]), 'possiblyReported'],
    [
      'unless a majority of restarted nodes may have known it',
      observe([open, unread, unread], [leaseOfC, { ...leaseOfC, node: 'b', incarnation: 'b1' }]),
      'majorityMayKnow',
    ],
    [
      'unless a node of an older version is needed against a majority',
      observe([open, open, unread]).map((each) =>
        each.node === 'b' ? { ...each, incarnation: null } : each,
      ),
      'majorityMayKnow',
    ],
  ];
  for (const [what, nodes, expected] of cases) {
    it(what, () => assert.equal(reasonUndecided(nodes, Math.floor(nodes.length / 2) + 1), expected));
  }
});

describe('a reply to an observation request', () => {
  function startNode(): { finished: FinishedJobs; ask: (from: string) => ObservationReply } {
    const endAcknowledgements = new EndAcknowledgements(new FakeClock(), { self: 'a', majority: 3 });
    const finished = new FinishedJobs(endAcknowledgements);
    const sent: ObservationReply[] = [];
    const sendToPeer: PeerTransport['sendToPeer'] = (_, message) => {
      sent.push(decodePeerMessage(message) as ObservationReply);
      return true;
    };
    const responder = new ObservationResponder({
      self: { name: 'a', zone: 'z', incarnation: 'a1' },
      peers: new PeerChannel({ sendToPeer, connectedPeers: () => [] }, ['b', 'c']),
      jobView: { observe: () => ({ kind: 'unread', forgottenEndsUpTo: 0 }), forgottenEndsUpTo: 0 },
      finishedJobs: finished,
      endAcknowledgements,
      readLeases: new PeerReadLeases({
        clock: new FakeClock(),
        watchCache: { confirmedAt: -Infinity, currentRevision: 0 },
      }),
    });
    const ask = (from: string): ObservationReply => {
      responder.onRequest(from, { kind: 'observationRequest', requestId: '1', jobIds: ['j-9'] });
      return sent.at(-1) ?? emptyReply;
    };
    return { finished, ask };
  }
  const end = { status: 'done', revision: 5, tasks: 2 } as const;

  // Otherwise a peer's read lease would cover an end that the peer does not know.
  it('lists the ends that the peer has not acknowledged', () => {
    const { finished, ask } = startNode();
    finished.add('j-1', end, 'b');
    assert.deepEqual(ask('b').ends, []);
    assert.deepEqual(ask('c').ends, [{ jobId: 'j-1', ...end }]);
    assert.ok(ask('c').grantsReadLease);
  });

  it('grants no read lease if there are too many of them', () => {
    const { finished, ask } = startNode();
    for (let n = 0; n <= END_ACKNOWLEDGEMENT_BATCH; n++) finished.add(`j-${String(n)}`, end, 'b');
    assert.ok(ask('b').grantsReadLease);
    assert.ok(!ask('c').grantsReadLease);
  });

  it('tells a job that the node has not read from one that it knows to be over', () => {
    const { over, unread } = startNode().ask('b');
    assert.deepEqual([over, unread], [['j-9'], ['j-9']]);
  });
});
