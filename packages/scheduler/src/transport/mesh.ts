import { connect, createServer, type Socket } from 'node:net';
import { Encoder } from 'cbor-x';
import { MESH_CONNECT_MS, MESH_FRAME_BYTES, MESH_RETRY_MS } from '../constants.ts';
import type { Clock } from './clock.ts';

export interface PeerAddress {
  name: string;
  address: string;
}

export interface Mesh {
  /** Sends if the sibling is connected; false if it is not. Nothing is queued for later. */
  send(peer: string, message: unknown): boolean;
  connected(): string[];
}

const codec = new Encoder({ useRecords: false });

function split(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

function frame(message: unknown): Buffer {
  const body = codec.encode(message);
  const head = Buffer.allocUnsafe(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

/** Calls `onFrame` for every whole frame; a frame over the limit or not CBOR ends the connection. */
function readFrames(socket: Socket, onFrame: (message: unknown) => void): void {
  let pending: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
    try {
      while (pending.length >= 4) {
        const size = pending.readUInt32BE(0);
        if (size > MESH_FRAME_BYTES) throw new Error('frame too large');
        if (pending.length < 4 + size) return;
        const body = pending.subarray(4, 4 + size);
        pending = pending.subarray(4 + size);
        onFrame(codec.decode(body));
      }
    } catch {
      socket.destroy();
    }
  });
}

/**
 * Connections between siblings: each node dials every other and sends on the connection it dialled, so
 * no two need agree on which connection counts. The first frame names the sender.
 */
export async function startMesh(options: {
  name: string;
  listen: string;
  peers: PeerAddress[];
  clock: Clock;
  signal: AbortSignal;
  onMessage: (from: string, message: unknown) => void;
  onConnect: (peer: string) => void;
}): Promise<Mesh> {
  const { signal, clock } = options;
  const out = new Map<string, Socket>();
  const known = new Set(options.peers.map((peer) => peer.name));

  const server = createServer((socket) => {
    let from: string | undefined;
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    const end = (): void => void socket.destroy();
    signal.addEventListener('abort', end);
    socket.on('close', () => signal.removeEventListener('abort', end));
    readFrames(socket, (message) => {
      if (from !== undefined) return options.onMessage(from, message);
      if (typeof message !== 'string' || !known.has(message)) return void socket.destroy();
      from = message;
    });
  });
  const at = split(options.listen);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(at.port, at.host, resolve);
  });
  signal.addEventListener('abort', () => server.close());

  const dial = async (peer: PeerAddress): Promise<void> => {
    while (!signal.aborted) {
      await new Promise<void>((ended) => {
        const socket = connect(split(peer.address));
        const end = (): void => void socket.destroy();
        signal.addEventListener('abort', end);
        socket.setNoDelay(true);
        socket.setTimeout(MESH_CONNECT_MS, () => {
          if (socket.connecting) socket.destroy();
        });
        socket.on('connect', () => {
          socket.setTimeout(0);
          socket.write(frame(options.name));
          out.set(peer.name, socket);
          options.onConnect(peer.name);
        });
        socket.on('error', () => socket.destroy());
        socket.on('close', () => {
          signal.removeEventListener('abort', end);
          if (out.get(peer.name) === socket) out.delete(peer.name);
          ended();
        });
        socket.resume();
      });
      await clock.sleep(MESH_RETRY_MS, signal);
    }
  };
  for (const peer of options.peers) void dial(peer);

  return {
    send: (peer, message) => {
      const socket = out.get(peer);
      if (!socket) return false;
      // A sibling behind a cut takes nothing: drop the connection instead of piling up frames.
      if (socket.writableLength > MESH_FRAME_BYTES) {
        socket.destroy();
        return false;
      }
      socket.write(frame(message));
      return true;
    },
    connected: () => [...out.keys()],
  };
}
