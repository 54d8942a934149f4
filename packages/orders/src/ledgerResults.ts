/** Results for callers, derived from ledger entries and claim outcomes. */
import {ServingError} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';
import type {OrderReply} from './contracts.js';
import type {ExecuteResult} from './forwardAnswer.js';
import {decodeReply, type LedgerEntry} from './shardRecord.js';

/**
 * Result of a retry when this process lost the shard while it waited for the
 * outcome of the claim. `outcome` is undefined if it could not be queried.
 *
 * @example
 * return resultAfterShardLoss(entry, await queryClaimant(entry, deadline));
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
  const {body, ...rest} = outcome.reply;
  return {type: 'reply', reply: {...rest, body}, isReplay: true};
}

/**
 * Result of a retry, derived from its ledger entry.
 *
 * @example
 * const result = resultFromLedger(entry);
 */
export function resultFromLedger(entry: LedgerEntry): ExecuteResult {
  if (entry.state === 'settled' && entry.reply !== undefined) {
    const {body, ...rest} = decodeReply(entry.reply);
    if (body === undefined) {
      return errorResult(
        outcomeUnknownError(
          `the order has run and was answered with status ${rest.status}, but its reply was too large to be stored`,
        ),
      );
    }
    const reply: OrderReply = {...rest, body};
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
 * Error for a key that was used with two different requests.
 *
 * @example
 * return errorResult(keyConflictError());
 */
export function keyConflictError(): ServingError {
  return new ServingError(
    'key-conflict',
    'the idempotency key was used with another request',
  );
}

/**
 * Result of an order that failed with an error.
 *
 * @example
 * return errorResult(keyConflictError());
 */
export function errorResult(error: ServingError): ExecuteResult {
  return {type: 'error', error};
}
