/**
 * The record that shows that this node is up. It is bound to a lease: when the process stops renewing the
 * lease, the key-value store deletes the record and the peers fail over the node's shards. See
 * docs/design.md, "Leadership" and "Restart under the same name".
 */
import { NODE_LEASE_MS, NODE_LEASE_RENEWAL_MS } from '../../constants.ts';
import { type ExactInteger, stringifyJson } from '../../protocol/json.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import { encodeNode } from '../../storage/record-codec.ts';
import { nodeKey, type NodeRecord } from '../../storage/records.ts';
import type { Clock } from '../../transport/clock.ts';
import { type Log, runPeriodically } from '../../transport/background-task.ts';
import type { EndReporting } from '../jobs/end-reporting.ts';
import type { NodeIdentity } from './membership.ts';
import type { Reachability } from './reachability.ts';
import type { ShardMapGuard } from './shard-map-guard.ts';

/** What {@link NodeRegistration} needs of its node. */
export interface NodeRegistrationContext {
  readonly self: NodeIdentity;
  readonly clock: Clock;
  readonly log: Log;
  readonly store: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly reachability: Reachability;
  readonly shardMapGuard: ShardMapGuard;
  readonly endReporting: EndReporting;
}

/** Keeps the node's lease alive and its record up to date. */
export class NodeRegistration {
  private lease: ExactInteger | null = null;
  /** The record as last committed; null when it has to be written. */
  private written: { lease: ExactInteger; value: NodeRecord; version: ExactInteger } | null = null;
  private isWriting = false;
  private isLoaded = false;
  /** The revision that the record states to have seen; set once a renewal, as each write raises it. */
  private seenRevision: ExactInteger | null = null;

  constructor(private readonly context: NodeRegistrationContext) {}

  /** Whether the node has a lease that it considers valid. */
  get hasLease(): boolean {
    return this.lease !== null;
  }

  /** Renews the lease periodically until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.context;
    return runPeriodically('node lease', NODE_LEASE_RENEWAL_MS, { clock, log, signal }, () =>
      this.keepLease(),
    );
  }

  /** The watch cache is complete: the record can be written, because its current version is known now. */
  onCaughtUp(): void {
    if (this.isLoaded) return;
    this.isLoaded = true;
    void this.publish();
  }

  /**
   * Writes the record again if a change of a node's record shows that this node's own was replaced or
   * deleted.
   */
  onNode(name: string, record: NodeRecord | null): void {
    const { self } = this.context;
    if (name !== self.name || record?.incarnation === self.incarnation) return;
    // An earlier process of this node wrote the record, or the lease expired. Until the record is written
    // again, peers consider this node down.
    this.written = null;
    void this.publish();
  }

  /**
   * Writes the record if it is not up to date. Each write names the version that it replaces; otherwise a
   * late write of an earlier process of this node could overwrite a newer record. A failed write is logged,
   * and retried at the next renewal.
   */
  async publish(): Promise<void> {
    const { store, self, log, watchCache, reachability } = this.context;
    const { lease } = this;
    if (lease === null || !this.isLoaded || this.isWriting) return;
    const value: NodeRecord = {
      incarnation: self.incarnation,
      unreachable: reachability.unreachableShards,
      reachable: reachability.reachableShards,
      ...(this.seenRevision === null ? {} : { seenRevision: this.seenRevision }),
    };
    if (this.written?.lease === lease && stringifyJson(this.written.value) === stringifyJson(value)) return;
    const key = nodeKey(self.name);
    const precondition = { key, version: this.written?.version ?? watchCache.version(key) };
    this.isWriting = true;
    this.written = null;
    try {
      const result = await store.compareAndSwap(
        [precondition],
        [{ op: 'put', key, value: encodeNode(value), lease }],
        'leadership',
      );
      if (result.kind === 'committed') this.written = { lease, value, version: result.revision };
      else if (result.kind === 'no_lease') this.lease = null;
      // On a conflict the watch cache is behind; it shows the other version soon.
    } catch (error) {
      // The write may still have been carried out. It is repeated at the next renewal.
      log.debug({ err: String(error) }, 'node record not written');
    }
    this.isWriting = false;
    if (this.written) await this.publish(); // the value may have changed in the meantime
  }

  private async keepLease(): Promise<void> {
    const { endReporting, store, log, shardMapGuard, watchCache } = this.context;
    this.seenRevision = endReporting.hasSilentPeer ? watchCache.currentRevision : null;
    // The lease is left to expire, so that no peer hands a shard over to this node.
    if (shardMapGuard.hasForeignShardMap) return void (this.lease = null);
    try {
      if (this.lease !== null && !(await store.renewLease(this.lease))) {
        log.info({}, 'node lease expired');
        this.lease = null;
      }
      this.lease ??= await store.grantLease(NODE_LEASE_MS);
      await this.publish();
    } catch (error) {
      log.debug({ err: String(error) }, 'node lease not granted or renewed');
    }
  }
}
