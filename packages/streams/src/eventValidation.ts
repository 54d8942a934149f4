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
  /** The event violates the protocol; the attempt has to be abandoned. */
  | {readonly type: 'reject'; readonly message: string};

const validators: {
  readonly [T in GenerationEvent['type']]: (
    event: GenerationEvent & {readonly type: T},
    request: GenerationRequest,
    deliveredTokens: readonly string[],
  ) => EventVerdict;
} = {
  start: event => ({type: 'start', event}),
  token(event, request, deliveredTokens) {
    if (event.index < deliveredTokens.length) {
      const isSameText = deliveredTokens[event.index] === event.text;
      return isSameText
        ? {type: 'ignore'}
        : createRejection('the engine changed the text of a delivered token');
    }
    if (event.index > deliveredTokens.length) {
      return createRejection(
        `token ${deliveredTokens.length} is missing from the stream`,
      );
    }
    if (event.index >= request.maxTokens) {
      return createRejection('the answer exceeds maxTokens');
    }
    return {type: 'deliver', text: event.text};
  },
  end(event, request, deliveredTokens) {
    if (event.generatedTokens !== deliveredTokens.length) {
      return createRejection(
        'the token count of the end event does not match the tokens received',
      );
    }
    if (
      event.reason === 'length' &&
      deliveredTokens.length !== request.maxTokens
    ) {
      return createRejection(
        'the answer ended with reason length before maxTokens',
      );
    }
    return {type: 'end', event};
  },
};

/**
 * Returns what to do with an event of an engine. Events with another attempt id
 * are rejected: an engine that mixes up streams would send the text of another
 * caller, which must not reach this caller.
 *
 * @example
 * const verdict = validateEvent(event, generationRequest, deliveredTokens);
 */
export function validateEvent(
  event: GenerationEvent,
  request: GenerationRequest,
  deliveredTokens: readonly string[],
): EventVerdict {
  if (event.attempt !== request.attempt) {
    return createRejection('received an event of another attempt');
  }
  const validator = validators[event.type] as (
    event: GenerationEvent,
    request: GenerationRequest,
    deliveredTokens: readonly string[],
  ) => EventVerdict;
  return validator(event, request, deliveredTokens);
}

function createRejection(message: string): EventVerdict {
  return {type: 'reject', message};
}
