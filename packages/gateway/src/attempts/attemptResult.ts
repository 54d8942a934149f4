/** Results of attempts, and the sink of their streams. */
import type {ResponseFraming, ServingError} from '@skylarkfield/base';
import type {ResponseHeaders} from '../contracts.js';
import type {EventFrame} from './eventFramer.js';

/** Result of an attempt. */
export type AttemptResult =
  /** The endpoint sent a complete response, of any status. */
  | (CompleteResponse & {readonly type: 'answered'})
  /** A stream was delivered to its end. */
  | {readonly type: 'streamed'; readonly end: ResponseEnd}
  /**
   * The request was not sent, since the endpoint has stopped accepting requests
   * while this one waited for a connection.
   */
  | {readonly type: 'withdrawn'}
  /** The endpoint guarantees that the request has not run and will not run. */
  | {readonly type: 'declined'; readonly status: number}
  /**
   * No complete response; the error states whether the request may have run.
   */
  | {
      readonly type: 'failed';
      readonly error: ServingError;
      /**
       * How the connection was lost; undefined unless the endpoint closed the
       * connection or sent no data before the attempt was aborted.
       */
      readonly loss?: ConnectionLoss;
    };

/** A response that was received to its end, of any status. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: ResponseHeaders;
  readonly body: Buffer;
  readonly end: ResponseEnd;
}

/** How a complete response ended. */
export interface ResponseEnd {
  readonly framing: ResponseFraming;
  /** Bytes that followed the last complete event of a stream; else 0. */
  readonly remainderBytes: number;
}

/**
 * How an attempt lost its endpoint while the request may have been running.
 * `closed`: the connection ended. `silent`: no data arrived before the attempt
 * was aborted.
 */
export type ConnectionLoss = 'closed' | 'silent';

/** Receives the events of a stream over all attempts of one request. */
export interface EventSink {
  /** Whether a head has been passed on. */
  hasBegun(): boolean;
  /** Id of the last event passed on; undefined before any such event. */
  lastEventId(): number | undefined;
  /** Passes on status and headers; ignored if they have already been sent. */
  begin(head: StreamHead): void;
  /**
   * Passes on an event. Returns false if the caller reads too slowly; the
   * attempt then pauses reading from the endpoint.
   */
  write(frame: EventFrame): boolean;
  /** Calls back once, when buffered data has been written to the caller. */
  whenDrained(callback: () => void): void;
  /** Ends a stream after the bytes that follow the last event. */
  finish(remainder: Buffer): void;
}

/** Head of a stream as passed on to the caller. */
export interface StreamHead {
  readonly status: number;
  readonly headers: ResponseHeaders;
}
