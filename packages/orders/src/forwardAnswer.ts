/** Conversion between results of orders and answers to forwarded orders. */
import {ServingError} from '@skylarkfield/base';
import type {ForwardAnswer} from '@skylarkfield/protocol';
import type {OrderCompletion} from './activeOrder.js';

/** Result of executing an order at one entry. */
export type ExecuteResult =
  | OrderCompletion
  /** Another entry owns the shard of the order. */
  | {readonly type: 'elsewhere'; readonly member: string}
  /** The request was not sent to the peer. */
  | {readonly type: 'not-sent'}
  /** The peer did not answer; the order may have run there. */
  | {readonly type: 'no-answer'};

/**
 * Converts a result to the message that answers a forwarded order. The message
 * names `fallbackMember` as owner of the shard when the owner is unknown.
 *
 * @example
 * return toForwardAnswer(await orders.execute(request, signal), member);
 */
export function toForwardAnswer(
  result: Exclude<ExecuteResult, {type: 'no-answer' | 'not-sent'}>,
  fallbackMember: string,
): ForwardAnswer {
  if (result.type === 'reply') {
    return result;
  }
  if (result.type === 'error') {
    const {kind, message, run, retryAfterMs} = result.error;
    return {type: 'error', kind, message, run, retryAfterMs};
  }
  return {
    type: 'elsewhere',
    member: result.member ?? fallbackMember,
    ...(result.type === 'moved'
      ? {released: result.token, isWaiting: result.isWaiting}
      : {}),
  };
}

/**
 * Converts the answer to a forwarded order back to a result.
 *
 * @example
 * const result = fromForwardAnswer(await network.request(...));
 */
export function fromForwardAnswer(answer: ForwardAnswer): ExecuteResult {
  if (answer.type === 'reply') {
    return answer;
  }
  if (answer.type === 'error') {
    const {kind, message, run, retryAfterMs} = answer;
    const error = new ServingError(kind, message, {run, retryAfterMs});
    return {type: 'error', error};
  }
  if (answer.released !== undefined) {
    const {member, released, isWaiting} = answer;
    // An entry of an older release omits `isWaiting`; the order may be waiting.
    return {
      type: 'moved',
      member,
      token: released,
      isWaiting: isWaiting ?? true,
    };
  }
  return {type: 'elsewhere', member: answer.member};
}
