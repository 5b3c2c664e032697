/**
 * Frames on the connections between controllers: four bytes of length, big-endian, and as many bytes of CBOR.
 */
import type { Socket } from 'node:net';
import { Encoder } from 'cbor-x';
import { MESH_FRAME_BYTES } from '../constants.ts';

const HEADER_BYTES = 4;

const codec = new Encoder({ useRecords: false });

/**
 * The sender does not speak this protocol, or the connection is out of step: a frame is over
 * `MESH_FRAME_BYTES`.
 */
class FrameTooLarge extends Error {
  readonly code = 'FRAME_TOO_LARGE';
}

/** A message as one frame. */
export function encodeFrame(message: unknown): Buffer {
  const body = codec.encode(message);
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}

/**
 * Calls `onMessage` for every whole frame that arrives. A frame that is over the limit or not CBOR, and an
 * error of `onMessage`, ends the connection.
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
      socket.destroy(); // the peer dials again
    }
  });
}
