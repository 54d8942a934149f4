/** Decides what becomes of each event that an engine sends for an attempt. */
import type {Generation, GenerationEvent} from '@skylarkfield/endpoints';

type EndEvent = GenerationEvent & {readonly type: 'end'};
type StartEvent = GenerationEvent & {readonly type: 'start'};

export type Judgement =
  | {readonly type: 'deliver'; readonly text: string}
  | {readonly type: 'start'; readonly event: StartEvent}
  | {readonly type: 'end'; readonly event: EndEvent}
  /** Harmless repetition of what was delivered already. */
  | {readonly type: 'ignore'}
  /** The answer can't be trusted from here on. */
  | {readonly type: 'reject'; readonly why: string};

const handlers: {
  readonly [T in GenerationEvent['type']]: (
    event: GenerationEvent & {readonly type: T},
    request: Generation,
    delivered: readonly string[],
  ) => Judgement;
} = {
  start: event => ({type: 'start', event}),
  token(event, request, delivered) {
    if (event.index < delivered.length) {
      const isSame = delivered[event.index] === event.text;
      return isSame ? {type: 'ignore'} : reject('a token changed afterwards');
    }
    if (event.index > delivered.length) {
      return reject(`token ${delivered.length} is missing`);
    }
    if (event.index >= request.maxTokens) {
      return reject('the answer is longer than asked for');
    }
    return {type: 'deliver', text: event.text};
  },
  end(event, request, delivered) {
    if (event.generatedTokens !== delivered.length) {
      return reject('the answer ended before its last token');
    }
    if (event.reason === 'length' && delivered.length !== request.maxTokens) {
      return reject('the answer ended short of its length');
    }
    return {type: 'end', event};
  },
};

/**
 * Judges one event. An engine that crosses answers sends another caller's
 * text: the attempt's id shows it, and the answer is dropped before any of it
 * reaches this caller.
 *
 * @example
 * const judgement = judgeEvent(event, generation, delivered);
 */
export function judgeEvent(
  event: GenerationEvent,
  request: Generation,
  delivered: readonly string[],
): Judgement {
  if (event.attempt !== request.attempt) {
    return reject('an event belongs to another attempt');
  }
  const handler = handlers[event.type] as (
    event: GenerationEvent,
    request: Generation,
    delivered: readonly string[],
  ) => Judgement;
  return handler(event, request, delivered);
}

function reject(why: string): Judgement {
  return {type: 'reject', why};
}
