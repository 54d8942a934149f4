/** Delivery of generation events to callers, with injected faults applied. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {GenerationEvent} from '@skylarkfield/endpoints';
import {applyFault} from './engineFaults.js';
import type {Sequence} from './sequence.js';

/** Output for the events of an engine's sequences. */
export interface StreamOutput {
  /** Applies a sequence's faults to an event and sends the resulting events. */
  emit(sequence: Sequence, event: GenerationEvent): void;
}

/**
 * Creates the output of an engine. `abort` is called with each sequence whose
 * stream is cut by a fault.
 *
 * @example
 * const output = createStreamOutput(clock, removeFromBatch);
 * output.emit(sequence, {type: 'token', attempt, index, text});
 */
export function createStreamOutput(
  clock: Clock,
  abort: (sequence: Sequence) => void,
): StreamOutput {
  function send(sequence: Sequence, event: GenerationEvent) {
    const lateFault = sequence.faults.find(fault => fault.type === 'late');
    if (lateFault === undefined) {
      sequence.sink.event(event);
      return;
    }
    clock.after(lateFault.amount ?? 0, () => sequence.sink.event(event));
  }

  return {
    emit(sequence, event) {
      const tokensBefore = sequence.sentTokens;
      if (event.type === 'token') {
        sequence.sentTokens += 1;
      }
      for (const fault of sequence.faults) {
        const faultResult = applyFault(event, tokensBefore, fault);
        if (faultResult.isCut) {
          abort(sequence);
          sequence.sink.fail(
            new ServingError(
              'interrupted',
              'the engine cut the stream before its end event',
            ),
          );
          return;
        }
        if (
          faultResult.events.length !== 1 ||
          faultResult.events[0] !== event
        ) {
          faultResult.events.forEach(faultedEvent =>
            send(sequence, faultedEvent),
          );
          return;
        }
      }
      send(sequence, event);
    },
  };
}
