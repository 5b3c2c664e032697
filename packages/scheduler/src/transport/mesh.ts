/**
 * Connections between the controllers of a deployment.
 *
 * Each controller dials every peer and sends only on the connections that it dialled, so two controllers need
 * not agree on which connection to use. The first frame on a connection is the dialling controller's name.
 */
import { connect, createServer, type Socket } from 'node:net';
import { MESH_CONNECT_MS, MESH_FRAME_BYTES, MESH_RETRY_MS } from '../constants.ts';
import { splitAddress } from './address.ts';
import type { Clock } from './clock.ts';
import { encodeFrame, readFrames } from './frames.ts';

/** A peer's name and the address at which it accepts connections from its peers. */
export interface PeerAddress {
  readonly name: string;
  readonly address: string;
}

/** Sends messages to peers. */
export interface Mesh {
  /** Sends a message if the peer is connected; otherwise returns false. Messages are not queued for later. */
  send(peer: string, message: unknown): boolean;
  /** Names of the peers that this controller has a connection to. */
  connected(): string[];
}

/** What the mesh is started with. */
export interface MeshOptions {
  /** This controller's name. */
  readonly name: string;
  /** Address at which to accept peers' connections. */
  readonly listen: string;
  /** All other controllers. A connection from any other name is closed. */
  readonly peers: readonly PeerAddress[];
  readonly clock: Clock;
  /** Closes the mesh and all its connections when aborted. */
  readonly signal: AbortSignal;
  /** Called for each message from a peer. If it throws, the connection of the message is closed. */
  readonly onMessage: (from: string, message: unknown) => void;
  /** Called whenever a connection to a peer is established. */
  readonly onConnect: (peer: string) => void;
}

/** Starts the mesh. Resolves once it accepts connections; rejects with Node's error if it cannot listen. */
export async function startMesh(options: MeshOptions): Promise<Mesh> {
  await listen(options);
  const mesh = new DialledMesh(options);
  mesh.start();
  return mesh;
}

async function listen(options: MeshOptions): Promise<void> {
  const { signal } = options;
  const peerNames = new Set(options.peers.map((peer) => peer.name));
  const server = createServer((socket) => acceptPeer(socket, peerNames, options));
  const { host, port } = splitAddress(options.listen);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  signal.addEventListener('abort', () => server.close());
}

function acceptPeer(socket: Socket, peerNames: ReadonlySet<string>, options: MeshOptions): void {
  let from: string | undefined;
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  destroyOnAbort(socket, options.signal);
  readFrames(socket, (message) => {
    if (from !== undefined) return options.onMessage(from, message);
    if (typeof message !== 'string' || !peerNames.has(message)) return void socket.destroy();
    from = message;
  });
}

function destroyOnAbort(socket: Socket, signal: AbortSignal): void {
  const onAbort = (): void => void socket.destroy();
  signal.addEventListener('abort', onAbort);
  socket.on('close', () => signal.removeEventListener('abort', onAbort));
}

/** The connections that this controller has dialled. */
class DialledMesh implements Mesh {
  /** Established connections by the peer's name. */
  private readonly sockets = new Map<string, Socket>();

  constructor(private readonly options: MeshOptions) {}

  start(): void {
    for (const peer of this.options.peers) void this.keepConnected(peer);
  }

  send(peer: string, message: unknown): boolean {
    const socket = this.sockets.get(peer);
    if (!socket) return false;
    // A peer behind a network partition reads nothing: close the connection rather than buffer more frames.
    if (socket.writableLength > MESH_FRAME_BYTES) {
      socket.destroy();
      return false;
    }
    socket.write(encodeFrame(message));
    return true;
  }

  connected(): string[] {
    return [...this.sockets.keys()];
  }

  private async keepConnected(peer: PeerAddress): Promise<void> {
    const { clock, signal } = this.options;
    while (!signal.aborted) {
      await this.dial(peer);
      await clock.sleep(MESH_RETRY_MS, signal);
    }
  }

  /** Connects to the peer. Resolves once the connection has closed or could not be established. */
  private dial(peer: PeerAddress): Promise<void> {
    const { name, signal, onConnect } = this.options;
    return new Promise((resolve) => {
      const socket = connect(splitAddress(peer.address));
      destroyOnAbort(socket, signal);
      socket.setNoDelay(true);
      socket.setTimeout(MESH_CONNECT_MS, () => {
        if (socket.connecting) socket.destroy();
      });
      socket.on('connect', () => {
        socket.setTimeout(0);
        socket.write(encodeFrame(name));
        this.sockets.set(peer.name, socket);
        onConnect(peer.name);
      });
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        if (this.sockets.get(peer.name) === socket) this.sockets.delete(peer.name);
        resolve();
      });
      socket.resume();
    });
  }
}
