/**
 * Frames on the connections between controllers: the length as four bytes, big-endian, and a body in CBOR.
 */
import type { Socket } from 'node:net';
import { Encoder } from 'cbor-x';
import { MESH_FRAME_BYTES } from '../constants.ts';

const HEADER_BYTES = 4;

const codec = new Encoder({ useRecords: false });

/**
 * A frame is larger than `MESH_FRAME_BYTES`: the sender uses another protocol, or the frame boundaries were
 * lost.
 */
class FrameTooLarge extends Error {
  readonly code = 'FRAME_TOO_LARGE';
}

/** Encodes a message as one frame. */
export function encodeFrame(message: unknown): Buffer {
  const body = codec.encode(message);
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

/**
 * Calls `onMessage` for every complete frame that arrives. A frame that exceeds the limit or is not CBOR, or
 * an error thrown by `onMessage`, closes the connection.
 */
export function readFrames(socket: Socket, onMessage: (message: unknown) => void): void {
  let received: Buffer = Buffer.alloc(0);
  socket.on('data', (chunk: Buffer) => {
    received = received.length === 0 ? chunk : Buffer.concat([received, chunk]);
    try {
      while (received.length >= HEADER_BYTES) {
        const size = received.readUInt32BE(0);
        if (size > MESH_FRAME_BYTES) throw new FrameTooLarge(`${String(size)} bytes`);
        const end = HEADER_BYTES + size;
        if (received.length < end) return;
        const body = received.subarray(HEADER_BYTES, end);
        received = received.subarray(end);
        onMessage(codec.decode(body));
      }
    } catch {
      socket.destroy(); // the peer connects again
    }
  });
}
