/** Validation of the events that an engine sends for an attempt. */
import type {GenerationRequest, GenerationEvent} from '@skylarkfield/endpoints';

type EndEvent = GenerationEvent & {readonly type: 'end'};
type StartEvent = GenerationEvent & {readonly type: 'start'};

export type EventVerdict =
  | {readonly type: 'deliver'; readonly text: string}
  | {readonly type: 'start'; readonly event: StartEvent}
  | {readonly type: 'end'; readonly event: EndEvent}
  /** A duplicate of a token that was already delivered. */
  | {readonly type: 'ignore'}
  /** A protocol violation; the attempt has to be abandoned. */
  | {readonly type: 'reject'; readonly message: string};

const validators: {
  readonly [T in GenerationEvent['type']]: (
    event: GenerationEvent & {readonly type: T},
    request: GenerationRequest,
    delivered: readonly string[],
  ) => EventVerdict;
} = {
  start: event => ({type: 'start', event}),
  token(event, request, delivered) {
    if (event.index < delivered.length) {
      const isSame = delivered[event.index] === event.text;
      return isSame
        ? {type: 'ignore'}
        : reject('the engine changed the text of a delivered token');
    }
    if (event.index > delivered.length) {
      return reject(`token ${delivered.length} is missing from the stream`);
    }
    if (event.index >= request.maxTokens) {
      return reject('the answer exceeds maxTokens');
    }
    return {type: 'deliver', text: event.text};
  },
  end(event, request, delivered) {
    if (event.generatedTokens !== delivered.length) {
      return reject(
        'the token count of the end event does not match the tokens received',
      );
    }
    if (event.reason === 'length' && delivered.length !== request.maxTokens) {
      return reject('the answer ended with reason length before maxTokens');
    }
    return {type: 'end', event};
  },
};

/**
 * Returns what to do with an event. An engine that mixes up streams sends
 * another caller's text: the attempt id reveals it, and the event is rejected
 * before any of that text reaches this caller.
 *
 * @example
 * const verdict = validateEvent(event, generation, delivered);
 */
export function validateEvent(
  event: GenerationEvent,
  request: GenerationRequest,
  delivered: readonly string[],
): EventVerdict {
  if (event.attempt !== request.attempt) {
    return reject('received an event of another attempt');
  }
  const validator = validators[event.type] as (
    event: GenerationEvent,
    request: GenerationRequest,
    delivered: readonly string[],
  ) => EventVerdict;
  return validator(event, request, delivered);
}

function reject(message: string): EventVerdict {
  return {type: 'reject', message};
}
