/**
 * Passes on the stream of one attempt to the caller, while other attempts of the
 * same request may run.
 */
import type {ResponseFraming} from '@skylarkfield/base';
import type {AttemptResult, EventSink, StreamHead} from './attemptResult.js';
import {interruptedError} from './attemptErrors.js';
import type {RaceEntry} from './attemptRace.js';
import {createEventFramer, type EventFrame} from './eventFramer.js';

export interface StreamDelivery {
  /** Passes on the events that the bytes complete. */
  receive(bytes: Buffer): void;
  /** Number of received bytes that are no complete event. */
  bufferedBytes(): number;
  /**
   * Returns the result of an attempt whose stream has been broken off, as its
   * events show; undefined if they may be the whole stream.
   */
  findBreak(framing: ResponseFraming): AttemptResult | undefined;
  /** Ends the caller's response and returns the result of the attempt. */
  end(framing: ResponseFraming): AttemptResult;
}

/**
 * Creates the delivery of one attempt, whose response has the given head.
 *
 * @example
 * const delivery = createStreamDelivery({head, sink, race, onDidBegin, onDidFill});
 * delivery.receive(chunk);
 */
export function createStreamDelivery(options: {
  readonly head: StreamHead;
  readonly sink: EventSink;
  readonly race: Pick<RaceEntry, 'lead'>;
  /** Called before the first event, or the end, is passed on. */
  onDidBegin(): void;
  /** Called when the caller reads too slowly. */
  onDidFill(): void;
}): StreamDelivery {
  const {head, sink, race} = options;
  const framer = createEventFramer();
  let hasBegun = false;

  function begin(): void {
    race.lead();
    if (!hasBegun) {
      hasBegun = true;
      options.onDidBegin();
      sink.begin(head);
    }
  }

  function forward(frame: EventFrame): void {
    begin();
    if (!sink.write(frame)) {
      options.onDidFill();
    }
  }

  return {
    receive: bytes => framer.push(bytes).forEach(forward),
    bufferedBytes: framer.remainderBytes,
    findBreak(framing) {
      if (framer.isInsideEvent()) {
        return {
          type: 'failed',
          error: interruptedError('the stream ended inside an event'),
          ...(framing === 'close' && {loss: 'closed' as const}),
        };
      }
      // A stream has events, so an endpoint without any has broken off.
      return framing === 'close' && !sink.hasBegun()
        ? {
            type: 'failed',
            error: interruptedError('the stream ended before its first event'),
            loss: 'closed',
          }
        : undefined;
    },
    end(framing) {
      begin();
      const remainder = framer.remainder();
      sink.finish(remainder);
      return {
        type: 'streamed',
        end: {framing, remainderBytes: remainder.length},
      };
    },
  };
}
