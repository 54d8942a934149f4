/** What callers are answered from what the ledger knows of an order. */
import {ServingError} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import type {OrderReply} from './contracts.js';
import type {ExecuteResult} from './forwardAnswer.js';
import {decodeReply, type LedgerEntry} from './shardRecord.js';

/**
 * The answer to a claim's outcome that came when the shard was no longer owned here.
 *
 * @example
 * return answerLost(entry, await askClaimer(entry, deadline));
 */
export function resultAfterShardLoss(
  entry: LedgerEntry,
  outcome: ClaimOutcome | undefined,
): ExecuteResult {
  if (outcome?.state === 'released') {
    const {token} = entry;
    return {type: 'moved', member: undefined, token, isWaiting: false};
  }
  if (outcome?.state !== 'settled' || outcome.reply.body === undefined) {
    return resultFromLedger(entry);
  }
  const {status, headers, body} = outcome.reply;
  return {type: 'reply', reply: {status, headers, body}, isReplay: true};
}

/**
 * The answer that an entry of the ledger gives to a retry.
 *
 * @example
 * const result = knownAnswer(entry);
 */
export function resultFromLedger(entry: LedgerEntry): ExecuteResult {
  if (entry.state === 'settled' && entry.reply !== undefined) {
    const {status, headers, body} = decodeReply(entry.reply);
    if (body === undefined) {
      return errorResult(
        outcomeUnknownError(
          `the order has run and was answered with status ${status}, but its reply was too large to be kept`,
        ),
      );
    }
    const reply: OrderReply = {status, headers, body};
    return {type: 'reply', reply, isReplay: true};
  }
  return errorResult(
    outcomeUnknownError(
      'the order was claimed and may have run; its reply is lost',
    ),
  );
}

function outcomeUnknownError(message: string): ServingError {
  return new ServingError('outcome-unknown', message, {run: 'may-have-run'});
}

/**
 * The error for a key that came with two requests.
 *
 * @example
 * return refusal(keyConflict());
 */
export function keyConflictError(): ServingError {
  return new ServingError(
    'key-conflict',
    'the idempotency key was used with another request',
  );
}

/**
 * An order's end with an error.
 *
 * @example
 * return refusal(keyConflict());
 */
export function errorResult(error: ServingError): ExecuteResult {
  return {type: 'error', error};
}
