/** Messages to the other controllers of the deployment: PROTOCOL, "Controller nodes <-> controller nodes". */
import { encodePeerMessage, type PeerWireMessage } from '../protocol/peer-message-codec.ts';
import type { PeerMessage } from '../protocol/peer-messages.ts';

/** What carries encoded messages between controllers. */
export interface PeerTransport {
  /** Sends a message to a peer that is connected; false if it is not. */
  readonly sendToPeer: (peer: string, message: PeerWireMessage) => boolean;
  /** The names of the peers that are connected. */
  readonly connectedPeers: () => string[];
}

/** Sends typed messages to peers. Nothing is queued: a peer that is not connected misses the message. */
export class PeerChannel {
  constructor(
    private readonly transport: PeerTransport,
    /** The names of all peers of the deployment. */
    readonly names: readonly string[],
  ) {}

  /** Sends a message to a peer that is connected; false if it is not. */
  send(peer: string, message: PeerMessage): boolean {
    return this.transport.sendToPeer(peer, encodePeerMessage(message));
  }

  /** Sends a message to every peer that is connected. */
  broadcast(message: PeerMessage): void {
    for (const peer of this.names) this.send(peer, message);
  }

  /** The names of the peers that are connected. */
  connected(): string[] {
    return this.transport.connectedPeers();
  }
}
