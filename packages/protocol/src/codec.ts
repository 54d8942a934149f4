/** Frames of the inner protocol and their bytes. */
import {Packr} from 'msgpackr';
import {ServingError} from '@skylarkfield/base';

/** One message on the wire: its type, the number of the question it belongs to, its body. */
export interface Frame {
  readonly type: string;
  /** Number of an ask or of the answer to it; 0 for a message that wants none. */
  readonly ask: number;
  readonly body: unknown;
}

/** Frame types that the network itself uses; no message type starts with a dollar sign. */
export const ANSWER = '$answer';
export const FAILURE = '$failure';
export const HELLO = '$hello';

/** Field names are written once per frame, so a list of like items costs little. */
const packr = new Packr({useRecords: true, moreTypes: false});

/**
 * Encodes a frame.
 *
 * @example
 * socket.send(encodeFrame({type: 'heartbeat', ask: 0, body}));
 */
export function encodeFrame(frame: Frame): Buffer {
  // The packr reuses its buffer, and a socket may still hold the bytes: copy.
  return Buffer.from(packr.pack([frame.type, frame.ask, frame.body]));
}

/**
 * Decodes a frame; throws `protocol-violation` for anything that is not one.
 *
 * @example
 * const {type, body} = decodeFrame(bytes);
 */
export function decodeFrame(bytes: Buffer): Frame {
  const parts = unpack(bytes);
  if (!Array.isArray(parts) || parts.length !== 3) {
    throw new ServingError(
      'protocol-violation',
      'the frame has no three parts',
    );
  }
  const [type, ask, body] = parts as unknown[];
  if (typeof type !== 'string' || typeof ask !== 'number') {
    throw new ServingError('protocol-violation', 'the frame has no valid head');
  }
  return {type, ask, body};
}

function unpack(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch (error) {
    throw new ServingError('protocol-violation', 'the frame is not msgpack', {
      cause: error,
    });
  }
}
