/** Frames of the inner protocol and their encoding. */
import {Packr} from 'msgpackr';
import {ServingError} from '@skylarkfield/base';

/** One message on the wire, encoded as an array of its three fields. */
export interface Frame {
  readonly type: string;
  /** Id that a request and its response share; 0 for a one-way message. */
  readonly requestId: number;
  readonly body: unknown;
}

/** Internal frame types; no message type starts with a dollar sign. */
export const RESPONSE_FRAME = '$answer';
export const ERROR_FRAME = '$failure';
export const HELLO_FRAME = '$hello';

/** Writes field names once per frame, so lists of similar items stay small. */
const packr = new Packr({useRecords: true, moreTypes: false});

/**
 * Encodes a frame.
 *
 * @example
 * socket.send(encodeFrame({type: 'heartbeat', requestId: 0, body}));
 */
export function encodeFrame(frame: Frame): Buffer {
  // Copies the bytes: Packr may reuse its buffer before the socket sent them.
  return Buffer.from(packr.pack([frame.type, frame.requestId, frame.body]));
}

/**
 * Decodes a frame; throws `protocol-violation` if the bytes are malformed.
 *
 * @example
 * const {type, body} = decodeFrame(bytes);
 */
export function decodeFrame(bytes: Buffer): Frame {
  const fields = unpack(bytes);
  if (!Array.isArray(fields) || fields.length !== 3) {
    throw new ServingError(
      'protocol-violation',
      'the frame is not an array of three fields',
    );
  }
  const [type, requestId, body] = fields as unknown[];
  if (typeof type !== 'string' || typeof requestId !== 'number') {
    throw new ServingError(
      'protocol-violation',
      'the frame has an invalid type or request id',
    );
  }
  return {type, requestId, body};
}

function unpack(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch (error) {
    throw new ServingError(
      'protocol-violation',
      'the frame is not valid msgpack',
      {
        cause: error,
      },
    );
  }
}
