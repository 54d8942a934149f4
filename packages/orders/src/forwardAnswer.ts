/** How an order's end travels between entries. */
import {ServingError} from '@skylarkfield/base';
import type {ForwardAnswer} from '@skylarkfield/protocol';
import type {OrderCompletion} from './activeOrder.js';

/** An order's end, or who can work on it. */
export type ExecuteResult =
  | OrderCompletion
  | {readonly type: 'elsewhere'; readonly member: string}
  /** Nothing was sent to the entry that was to be asked. */
  | {readonly type: 'not-sent'}
  /** The entry asked may have done anything. */
  | {readonly type: 'no-answer'};

/**
 * Turns a result into the message that answers a forwarded order.
 *
 * @example
 * return toForwardAnswer(await orders.work(request, signal), member);
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
 * Reads the message that answers a forwarded order.
 *
 * @example
 * const result = readForwardAnswer(await network.ask(...));
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
    // An entry of another release that does not say is taken at its worst.
    return {
      type: 'moved',
      member,
      token: released,
      isWaiting: isWaiting ?? true,
    };
  }
  return {type: 'elsewhere', member: answer.member};
}
