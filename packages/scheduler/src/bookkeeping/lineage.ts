import type { Int } from '../protocol/json.ts';
import { type Condition, StateRefused } from '../protocol/state.ts';
import { epochKey, type EpochRecord, epochWitness } from './records.ts';

/** The keys that prove an epoch, and the version that both were written at. */
export function proofs(epoch: string, version: Int): Condition[] {
  return [
    { key: epochKey(epoch), version },
    { key: epochWitness(epoch), version },
  ];
}

export interface Epoch {
  record: EpochRecord;
  /** Of the keys that only this epoch has: true of a transaction means that it is carried out in this epoch. */
  proofs: Condition[];
}

/**
 * Which history of the state service this node lives in. The service promises to lose nothing; on the day on which it
 * has, what this node knows must not be unlearnt, and nothing that was sent before may be carried out after. So every
 * transaction names the epoch by keys that no other epoch ever has, and every answer's revision is looked at.
 * docs/design.md, "A state service that has lost data".
 */
export class Lineage {
  private current: Epoch | null = null;
  private greatest: Int = 0;
  private reason: string | null = null;
  private blindly = false;
  private waiting: (() => void)[] = [];

  constructor(private readonly onLost: (reason: string) => void) {}

  /** The epoch, or null before it is known and once it is lost. */
  get epoch(): Epoch | null {
    return this.reason === null ? this.current : null;
  }

  /** The epoch that this node's knowledge is of, lost or not. */
  get last(): Epoch | null {
    return this.current;
  }

  /** Why the epoch is lost; null while it is not. */
  get lost(): string | null {
    return this.reason;
  }

  /** Whether it was found out by machines that know more than all records: then no controller knows it either. */
  get blind(): boolean {
    return this.blindly;
  }

  /** The epoch that calls belong to. Throws `StateRefused` while there is none. */
  need(): Epoch {
    const { epoch } = this;
    if (!epoch) throw new StateRefused(this.reason === null ? 'no epoch yet' : 'data lost');
    return epoch;
  }

  /** Still the same epoch as when the call began. Throws `StateRefused` where it is not. */
  same(epoch: Epoch): void {
    if (this.epoch !== epoch) throw new StateRefused('another epoch');
  }

  /** The greatest revision told so far, to be given with the answer to a call sent from now on. */
  get revision(): Int {
    return this.greatest;
  }

  /** An answer's revision: one below what was told before the call was sent means that changes are gone. */
  told(before: Int, revision: Int, wrote = false): void {
    if (this.reason !== null) return;
    if (revision < before || (wrote && revision === before)) return this.lose('revisions went back');
    if (revision > this.greatest) this.greatest = revision;
  }

  /** A transaction's conditions that failed. */
  failed(epoch: Epoch, keys: string[]): void {
    if (this.epoch === epoch && epoch.proofs.some((p) => keys.includes(p.key))) this.lose('epoch is gone');
  }

  lose(reason: string, blind = false): void {
    if (this.reason !== null) return;
    this.reason = reason;
    this.blindly = blind;
    this.onLost(reason);
  }

  /** The epoch that this node lives in from now on; revisions begin anew. */
  adopt(epoch: Epoch, revision: Int): void {
    this.current = epoch;
    this.greatest = revision;
    this.reason = null;
    this.blindly = false;
    for (const wake of this.waiting.splice(0)) wake();
  }

  /** Comes back once there is an epoch that is not lost. */
  whole(): Promise<void> {
    if (this.epoch) return Promise.resolve();
    return new Promise((resolve) => this.waiting.push(resolve));
  }
}
