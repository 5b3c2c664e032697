import {
  ATTEMPTS_PER_TOKEN,
  FAILURE_SCORE_TO_DRAIN,
  WORKER_BACKOFF_DOUBLINGS,
  WORKER_BACKOFF_MS,
  TASK_RETRY_DOUBLINGS,
  TASK_RETRY_MAX_MS,
  TASK_RETRY_MS,
} from '../../constants.ts';
import { type Attempt, attemptKey } from '../../storage/attempt.ts';
import { attach, bookedShare, detach, type Machine, recordImageUse } from '../../storage/machine.ts';
import { startDraining, stopDraining } from '../../storage/machine-lifecycle.ts';
import type { AttemptState, FailureHistory } from '../../storage/machine-state.ts';
import type { Slice } from '../../storage/slice.ts';
import type { Int } from '../../protocol/json.ts';
import {
  type EndReason,
  type Command,
  parseTaskName,
  type Heartbeat,
  taskName,
} from '../../protocol/workers.ts';
import type { ShardContext } from '../shard-context.ts';
import type { TeamUsage } from '../quota/team-usage.ts';

/** Which task of a part is on which machine, as an attempt each: how attempts begin, are heard of, and end. */
export class TaskAttempts {
  private counter = 0;

  constructor(
    private readonly context: ShardContext,
    private readonly shard: {
      name: string;
      fencingToken: number;
      slices: Map<string, Slice>;
      usage: TeamUsage;
      /** A task of the slice has its result. */
      onSettled: (slice: Slice) => void;
      /** The first task of this owner is being started. */
      onFirstStart: () => void;
      /** A task waits again. */
      onFreed: () => void;
    },
  ) {}

  /** Begins an attempt, which the machine is still to be told of. */
  start(machine: Machine & AttemptState, slice: Slice, position: number, now: number): void {
    if (this.counter >= ATTEMPTS_PER_TOKEN - 1) return this.context.onSuperseded(this.shard.name);
    const number = this.shard.fencingToken * ATTEMPTS_PER_TOKEN + ++this.counter;
    const task = taskName(slice.spec.id, slice.index(position));
    const key = attemptKey(task, number);
    this.attach(machine, {
      key,
      task,
      number,
      slice,
      position,
      phase: 'new',
      state: 'fetching',
      stopping: false,
      graceS: 0,
      startedAt: now,
      jobOpenConfirmedAt: Infinity,
      runningAt: Infinity,
    });
    if (this.counter === 1) this.shard.onFirstStart();
    slice.place(position, key);
    machine.bookedSinceHeartbeat = bookedShare(machine, (attempt) => attempt.phase !== 'seen');
  }

  /** Takes the tasks that a machine reports, in the answer to its own report or to a call (`checkin` false). */
  onHeartbeat(machine: Machine & AttemptState, heartbeat: Heartbeat, checkin: boolean): void {
    const listed = new Set<string>();
    for (const reported of heartbeat.tasks) {
      const key = attemptKey(reported.task, reported.attempt);
      listed.add(key);
      const attempt =
        machine.attempts.get(key) ??
        this.adopt(machine, key, reported.task, reported.attempt, reported.state, reported.reason);
      if (!attempt) continue;
      attempt.phase = 'seen';
      if (attempt.slice && (reported.state === 'running' || reported.reason === 'done')) {
        const { image, imageGb } = attempt.slice.spec;
        if (attempt.state === 'fetching' || !machine.images.has(image))
          recordImageUse(machine, image, imageGb);
      }
      attempt.state = reported.state;
      if (reported.state === 'running' && attempt.runningAt === Infinity)
        attempt.runningAt = this.context.clock.now();
      if (reported.reason !== null) this.end(machine, attempt, reported.reason);
    }
    for (const attempt of [...machine.attempts.values()]) {
      if (listed.has(attempt.key)) continue;
      if (attempt.phase === 'seen') this.lose(machine, attempt);
      // The answer that held the launch was dropped: reports go one at a time, so this one was sent after.
      // A direct command's answer proves nothing of the kind, as it can cross the report's answer.
      else if (attempt.phase === 'sent' && checkin) {
        // It is told once more, unless the machine hears nothing: then others may have the task.
        if (attempt.stopping || machine.unreachableSince !== Infinity) this.lose(machine, attempt);
        else attempt.phase = 'new';
      }
    }
    for (const key of [...machine.endedAttempts.keys()])
      if (checkin && !listed.has(key)) machine.endedAttempts.delete(key);
    machine.load = bookedShare(machine, (attempt) => attempt.phase === 'seen');
    machine.bookedSinceHeartbeat = bookedShare(machine, (attempt) => attempt.phase !== 'seen');
  }

  /** Of a report made before this owner was accepted only results count: they are true whenever it was made. */
  onHeartbeatOfFormerLeader(heartbeat: Heartbeat): void {
    for (const { task, reason } of heartbeat.tasks) {
      const found = reason === 'done' ? this.find(task) : null;
      if (found && !found.slice.settled.has(found.position)) this.settle(found.slice, found.position);
    }
  }

  /** Orders that stop what the report lists and no open job of the part has: those are over, and an end is final. */
  stopCommandsFor(heartbeat: Heartbeat): Command[] {
    return heartbeat.tasks.flatMap(({ task, attempt, state }): Command[] =>
      state === 'ended' || this.find(task) ? [] : [{ op: 'stop', task, attempt, graceS: 0 }],
    );
  }

  /**
   * Whether an order of this owner may still arrive at the machine and start a task of a job that has been over for so
   * long that no more lease may be renewed on it: sent straight to the machine and never answered, it counts as long as
   * the session lasts. It is as with contact lost at that time: the last lease ends before the cancellation's time does.
   */
  mayStartCancelled(machine: Machine): boolean {
    const now = this.context.clock.now();
    for (const { phase, jobOpenConfirmedAt: openAt } of machine.attempts.values()) {
      if (phase === 'direct' && now - openAt > this.context.leaderLeaseMs) return true;
    }
    return false;
  }

  /** The machine has gone to its next session: nothing of the last one is on it. */
  beginAgentEpoch(machine: Machine): void {
    this.loseAll(machine, machine.agentEpoch === 0 ? null : 'machine lost its session');
  }

  /** Every lease of the machine is over: the worker has killed its tasks and gone to its next session. */
  onLeaseExpired(machine: Machine): void {
    this.loseAll(machine, 'lease over: tasks are free');
  }

  /** Nothing of the session is left on the machine, and no earlier command counts in the next one. */
  private loseAll(machine: Machine, told: string | null): void {
    const tasks = machine.attempts.size;
    if (told !== null && tasks > 0) this.context.log.info({ machine: machine.id, tasks }, told);
    for (const attempt of [...machine.attempts.values()]) this.lose(machine, attempt);
    machine.endedAttempts.clear();
    machine.launchesInDoubt.clear();
  }

  /** The attempt is certainly gone from its machine without a result. */
  lose(machine: Machine, attempt: Attempt): void {
    this.detach(machine, attempt);
    attempt.slice?.unplace(attempt.position, attempt.key, null);
    this.shard.onFreed();
  }

  /** A reported attempt that this owner did not start, or gave up: left by an owner before, or late. */
  private adopt(
    machine: Machine,
    key: string,
    task: string,
    number: Int,
    state: Attempt['state'],
    reason: EndReason | null,
  ): Attempt | null {
    if (machine.endedAttempts.has(key)) return null;
    const found = this.find(task);
    const slice = found?.slice ?? null;
    const position = found?.position ?? 0;
    const free = slice !== null && !slice.placed.has(position) && !slice.settled.has(position);
    if (reason !== null) {
      // Its result counts wherever it was reached. One that is known already may not be recorded yet: until then the
      // machine must keep it all the same, as this owner may end before.
      if (slice && reason === 'done' && !slice.settled.has(position)) this.settle(slice, position);
      const at = this.context.clock.now();
      machine.endedAttempts.set(key, {
        task,
        number,
        reason,
        slice: reason === 'done' ? slice : null,
        position,
        at,
      });
      return null;
    }
    const attempt: Attempt = {
      key,
      task,
      number,
      slice: free ? slice : null,
      position,
      phase: 'seen',
      state,
      stopping: !free,
      graceS: 0,
      startedAt: this.context.clock.now(),
      jobOpenConfirmedAt: Infinity,
      runningAt: Infinity,
    };
    if (free) slice.place(position, key);
    this.attach(machine, attempt);
    return attempt;
  }

  private find(task: string): { slice: Slice; position: number } | null {
    const parsed = parseTaskName(task);
    if (!parsed) return null;
    for (const slice of this.shard.slices.values()) {
      if (slice.spec.id === parsed.job && slice.has(parsed.index))
        return { slice, position: slice.position(parsed.index) };
    }
    return null;
  }

  private end(machine: Machine & FailureHistory, attempt: Attempt, reason: EndReason): void {
    const { slice, position, key } = attempt;
    const now = this.context.clock.now();
    this.detach(machine, attempt);
    machine.endedAttempts.set(key, {
      task: attempt.task,
      number: attempt.number,
      reason,
      slice: reason === 'done' ? slice : null,
      position,
      at: now,
    });
    if (!slice || slice.cancelled) return;
    if (reason === 'done') {
      machine.taskFailures.clear();
      machine.backoffUntil = 0;
      slice.failures = 0;
      this.context.failingJobs.recordSuccess(slice.spec.id);
      this.settle(slice, position);
      return;
    }
    if (reason === 'stopped') return slice.unplace(position, key, null);
    slice.failures++;
    const pause = Math.min(
      TASK_RETRY_MS * 2 ** Math.min(slice.failures, TASK_RETRY_DOUBLINGS),
      TASK_RETRY_MAX_MS,
    );
    if (reason === 'error') this.recordFailure(machine, attempt, slice, now);
    slice.unplace(position, key, now + pause);
    this.context.log.info({ machine: machine.id, task: attempt.task, reason }, 'task failed');
  }

  /** A sick machine fails everything: it must not swallow the waiting tasks one by one. */
  private recordFailure(machine: Machine, attempt: Attempt, slice: Slice, now: number): void {
    const job = slice.spec.id;
    machine.taskFailures.set(job, { count: (machine.taskFailures.get(job)?.count ?? 0) + 1, at: now });
    const sound = slice.settled.size > 0;
    this.context.failingJobs.recordFailure(job, machine.id, Math.max(0, now - attempt.runningAt), sound);
    this.attributeFailures(machine);
  }

  /**
   * Pauses the machine, or drains it, for the failures that speak against it. Reckoned anew when a job turns out to fail
   * everywhere, which clears its machines, or to be sound after all.
   */
  attributeFailures(machine: Machine & FailureHistory): void {
    const { failingJobs, log } = this.context;
    const sum = { count: 0, at: 0 };
    let blame = 0;
    for (const [job, { count, at }] of machine.taskFailures) {
      if (failingJobs.isFailing(job)) continue;
      sum.count += count;
      sum.at = Math.max(sum.at, at);
      blame += failingJobs.failureScore(job, machine.id, count);
    }
    machine.backoffUntil =
      sum.count === 0
        ? 0
        : sum.at + WORKER_BACKOFF_MS * 2 ** Math.min(sum.count - 1, WORKER_BACKOFF_DOUBLINGS);
    const shouldCordon = blame >= FAILURE_SCORE_TO_DRAIN;
    if (shouldCordon === machine.cordoned || machine.terminating || (shouldCordon && machine.draining))
      return;
    machine.cordoned = shouldCordon;
    if (shouldCordon || machine.preemptionNoticed) startDraining(machine);
    else stopDraining(machine);
    log.info(
      { machine: machine.id, faults: sum.count, blame },
      shouldCordon
        ? 'machine drained: tasks of several jobs fail on it'
        : 'machine cleared: its jobs fail everywhere',
    );
  }

  private settle(slice: Slice, position: number): void {
    if (slice.spec.kind === 'service') return; // a replica that exits is replaced
    slice.settle(position);
    this.shard.onSettled(slice);
  }

  /** The slice's job is over: what runs of it is stopped. True if the machine is to be told. */
  cancelSlice(machine: Machine, slice: Slice): boolean {
    let commanded = false;
    for (const attempt of [...machine.attempts.values()]) {
      if (attempt.slice !== slice) continue;
      attempt.stopping = true;
      attempt.graceS = 0;
      attempt.jobOpenConfirmedAt = this.context.watchCache.confirmedAt;
      if (attempt.phase === 'new') this.detach(machine, attempt);
      else commanded = true;
    }
    return commanded;
  }

  private attach(machine: Machine, attempt: Attempt): void {
    attach(machine, attempt);
    this.shard.usage.count(attempt, 1);
  }

  private detach(machine: Machine, attempt: Attempt): void {
    if (machine.attempts.get(attempt.key) !== attempt) return;
    detach(machine, attempt);
    this.shard.usage.count(attempt, -1);
  }
}
