/** Events of an engine stand-in on their way to the caller, with the faults that change them. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {GenerationEvent} from '@skylarkfield/endpoints';
import {mangle} from './engineFaults.js';
import type {Sequence} from './sequence.js';

/** Where an engine sends the events of its sequences. */
export interface StreamOutput {
  /** Sends an event to the sequence's sink as its faults let it through. */
  emit(sequence: Sequence, event: GenerationEvent): void;
}

/**
 * Makes the output of an engine; `cut` takes a sequence out whose stream a fault breaks.
 *
 * @example
 * const output = createStreamOutput(clock, sequence => remove(sequence));
 * output.emit(sequence, {type: 'token', attempt, index, text});
 */
export function createStreamOutput(
  clock: Clock,
  cut: (sequence: Sequence) => void,
): StreamOutput {
  function send(sequence: Sequence, event: GenerationEvent) {
    const late = sequence.faults.find(fault => fault.type === 'late');
    if (late === undefined) {
      sequence.sink.event(event);
      return;
    }
    clock.after(late.amount ?? 0, () => sequence.sink.event(event));
  }

  return {
    emit(sequence, event) {
      const position = sequence.sentTokens;
      if (event.type === 'token') {
        sequence.sentTokens += 1;
      }
      for (const fault of sequence.faults) {
        const mangled = mangle(event, position, fault);
        if (mangled.isCut) {
          cut(sequence);
          sequence.sink.fail(
            new ServingError('interrupted', 'the engine cut the stream'),
          );
          return;
        }
        if (mangled.events.length !== 1 || mangled.events[0] !== event) {
          mangled.events.forEach(other => send(sequence, other));
          return;
        }
      }
      send(sequence, event);
    },
  };
}
