/**
 * Passes on the stream of one attempt to the caller, while other attempts of the
 * same request may run.
 */
import type {ResponseFraming} from '@skylarkfield/base';
import type {AttemptResult, EventSink, StreamHead} from './attempt.js';
import {interruptedError} from './attemptErrors.js';
import type {RaceEntry} from './attemptRace.js';
import {createEventFramer, type EventFrame} from './eventFramer.js';

export interface StreamDelivery {
  /** Passes on the events that the bytes complete. */
  receive(bytes: Buffer): void;
  /** Number of received bytes that are no complete event. */
  bufferedBytes(): number;
  /** Ends the stream and returns the result of the attempt. */
  end(framing: ResponseFraming): AttemptResult;
}

/**
 * Creates the delivery of one attempt, whose response has the given head.
 *
 * An attempt whose end cannot complete the caller's response leads only
 * provisionally, so that a silent attempt that may complete it goes on. That one
 * is behind the caller then, and catches up unnoticed.
 *
 * @example
 * const delivery = createStreamDelivery({head, resumedId, sink, race, onDidBegin, onDidFill});
 * delivery.receive(chunk);
 */
export function createStreamDelivery(options: {
  readonly head: StreamHead;
  /** Id of the event after which the attempt was requested; undefined if none. */
  readonly resumedId: number | undefined;
  readonly sink: EventSink;
  readonly race: Pick<RaceEntry, 'lead' | 'leadProvisionally'>;
  /** Called before the first event, or the end, is passed on. */
  onDidBegin(): void;
  /** Called when the caller reads too slowly. */
  onDidFill(): void;
}): StreamDelivery {
  const {head, sink, race} = options;
  const framer = createEventFramer();
  let hasBegun = false;
  let lastEventId = options.resumedId ?? -Infinity;

  /** Whether another attempt has passed on events that this one has not sent. */
  function isBehind(): boolean {
    return lastEventId < (sink.lastEventId() ?? -Infinity);
  }

  function begin(): void {
    if (sink.canFinish(head.framing)) {
      race.lead();
    } else {
      race.leadProvisionally();
    }
    if (!hasBegun) {
      hasBegun = true;
      options.onDidBegin();
      sink.begin(head);
    }
  }

  function forward(frame: EventFrame): void {
    begin();
    lastEventId = Math.max(lastEventId, frame.id ?? -Infinity);
    if (frame.id === undefined && isBehind()) {
      return;
    }
    if (!sink.write(frame)) {
      options.onDidFill();
    }
  }

  return {
    receive: bytes => framer.push(bytes).forEach(forward),
    bufferedBytes: framer.remainderBytes,
    end(framing) {
      if (framer.isInsideEvent()) {
        return {
          type: 'failed',
          error: interruptedError('the stream ended inside an event'),
          ...(framing === 'close' && {loss: 'closed' as const}),
        };
      }
      if (framing === 'close' && !sink.hasBegun()) {
        // A stream has events, so an endpoint without any has broken off.
        return {
          type: 'failed',
          error: interruptedError('the stream ended before its first event'),
          loss: 'closed',
        };
      }
      if (isBehind()) {
        return {
          type: 'failed',
          error: interruptedError(
            'the stream ended before the last event that the caller has',
          ),
        };
      }
      begin();
      const remainder = framer.remainder();
      return sink.finish(remainder, framing)
        ? {type: 'streamed', end: {framing, remainderBytes: remainder.length}}
        : {
            type: 'failed',
            error: interruptedError('the end of the stream is not marked'),
          };
    },
  };
}
