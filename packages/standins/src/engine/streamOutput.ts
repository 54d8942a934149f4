/** Delivery of generation events to callers, with injected faults applied. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {GenerationEvent} from '@skylarkfield/endpoints';
import {applyFault} from './engineFaults.js';
import type {Sequence} from './sequence.js';

/** Output for the events of an engine's sequences. */
export interface StreamOutput {
  /** Sends an event to the sequence's sink after applying its faults. */
  emit(sequence: Sequence, event: GenerationEvent): void;
}

/**
 * Creates the output of an engine; `abort` is called for a sequence whose
 * stream a fault cuts.
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
      const position = sequence.sentTokens;
      if (event.type === 'token') {
        sequence.sentTokens += 1;
      }
      for (const fault of sequence.faults) {
        const faulted = applyFault(event, position, fault);
        if (faulted.isCut) {
          abort(sequence);
          sequence.sink.fail(
            new ServingError(
              'interrupted',
              'the engine cut the stream before its end event',
            ),
          );
          return;
        }
        if (faulted.events.length !== 1 || faulted.events[0] !== event) {
          faulted.events.forEach(other => send(sequence, other));
          return;
        }
      }
      send(sequence, event);
    },
  };
}
