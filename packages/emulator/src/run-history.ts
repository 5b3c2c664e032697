/** The history of a run: a digest of all its events, and the violations among them. */
import { createHash, type Hash } from 'node:crypto';
import type { EventCode, EventField, Rule, Violation } from './invariant-rules.ts';
import type { VirtualTime } from './time.ts';

/** Records the events of one run. Two runs had the same history if their digests are equal. */
export class RunHistory {
  /** All violations so far, in the order in which they were found. */
  readonly violations: Violation[] = [];
  private readonly digest: Hash = createHash('sha256');

  constructor(private readonly time: VirtualTime) {}

  /** Digest of the history so far, in hexadecimal. */
  get digestHex(): string {
    return this.digest.copy().digest('hex');
  }

  /**
   * Records a violation; the run continues. `subject` has the codes, ids and numbers that distinguish this
   * violation from others of the same rule and is part of the digest. `detail` is text for people and is not.
   */
  reportViolation(rule: Rule, subject: readonly EventField[], detail: string): void {
    this.record('violation', rule, ...subject);
    this.violations.push({ rule, atS: this.time.now / 1000, detail });
  }

  /** Adds an event at the current time to the history, and so to the digest. */
  record(event: EventCode, ...fields: EventField[]): void {
    const line = [this.time.now.toFixed(3), event, ...fields.map((field) => String(field ?? '-'))].join(' ');
    this.digest.update(`${line}\n`);
  }
}
