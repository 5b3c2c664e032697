import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decodeFrame, decodeSegmentHeader, encodeFrame, encodeSegmentHeader } from '../src/frame-codec.ts';
import { MAX_RECORD_BYTES } from '../src/constants.ts';
import { RecordTooLargeError } from '../src/errors.ts';

/** Bytes that format version 1 has written since its introduction. Existing logs on disk contain them. */
const SEGMENT_HEADER_OF_7 = '6f6e79786b656570010000000700000000000000b71fb921';
const FRAME_9_OF_WRITE_8 = '03000000090000000000000001000000c2412435f83ceabb616263';

describe('stored format', () => {
  it('encodes segment headers and frames to the recorded bytes of version 1, and decodes them', () => {
    assert.equal(encodeSegmentHeader(7).toString('hex'), SEGMENT_HEADER_OF_7);
    assert.equal(decodeSegmentHeader('log', Buffer.from(SEGMENT_HEADER_OF_7, 'hex')), 7);
    const content = Buffer.from('abc');
    assert.equal(encodeFrame(9, 8, content).toString('hex'), FRAME_9_OF_WRITE_8);
    const decoded = decodeFrame(Buffer.from(FRAME_9_OF_WRITE_8, 'hex'), 0);
    assert.deepEqual(decoded, { number: 9, firstOfWrite: 8, content });
  });

  it('rejects a record that exceeds the maximum frame size', () => {
    assert.equal(encodeFrame(0, 0, Buffer.alloc(MAX_RECORD_BYTES)).length, MAX_RECORD_BYTES + 24);
    assert.throws(() => encodeFrame(0, 0, Buffer.alloc(MAX_RECORD_BYTES + 1)), RecordTooLargeError);
  });
});
