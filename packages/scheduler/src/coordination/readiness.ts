/** Whether a load balancer should send users to this node. */
import { ISOLATED_AFTER_MS } from '../constants.ts';
import type { WatchCache } from '../storage/watch-cache.ts';
import type { Clock } from '../transport/clock.ts';
import type { MachineTypeCatalog } from './autoscaling/machine-type-catalog.ts';
import type { ShardMapGuard } from './leadership/shard-map-guard.ts';
import type { PeerChannel } from './peer-channel.ts';
import type { PeerMessageDispatcher } from './peer-message-dispatcher.ts';
import type { WatchDispatcher } from './watch-dispatcher.ts';

/** What {@link Readiness} needs of its node. */
export interface ReadinessContext {
  readonly clock: Clock;
  readonly peers: PeerChannel;
  readonly watchCache: WatchCache;
  readonly dispatcher: WatchDispatcher;
  readonly peerMessages: PeerMessageDispatcher;
  readonly catalog: MachineTypeCatalog;
  readonly shardMapGuard: ShardMapGuard;
}

/** Decides whether this node can serve users. */
export class Readiness {
  constructor(private readonly context: ReadinessContext) {}

  /** Whether this node has read all that requests need, uses the records' shard map and is not isolated. */
  isReady(): boolean {
    const { catalog, dispatcher, shardMapGuard } = this.context;
    return (
      dispatcher.isLoaded && catalog.types !== null && !shardMapGuard.hasForeignShardMap && !this.isIsolated()
    );
  }

  /**
   * Whether this node reaches neither the key-value store nor any peer: other nodes serve its users better.
   * When the key-value store is down for all nodes, messages of peers still arrive, so no node turns its
   * users away.
   */
  private isIsolated(): boolean {
    const { clock, peerMessages, peers, watchCache } = this.context;
    const isSilent = (since: number): boolean => clock.now() - since > ISOLATED_AFTER_MS;
    return peers.names.length > 0 && isSilent(watchCache.confirmedAt) && isSilent(peerMessages.lastMessageAt);
  }
}
