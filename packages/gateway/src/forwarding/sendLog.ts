/** Log lines and counters of the sends of a request after its first one. */
import type {Logger} from '@skylarkfield/base';
import {isRepeatable} from '@skylarkfield/traffic';
import type {Destination} from '../attempts/hedging.js';
import type {ForwardedCall} from './forwardedCall.js';
import type {Progress} from './retryRules.js';

/** Why a request is sent again. */
export type SendReason =
  /** No endpoint has run it. */
  | 'not-run'
  /** An endpoint may have run it, and its route permits a further run. */
  | 'rerun'
  /** Its run goes on from the KV cache that was copied off another endpoint. */
  | 'migration'
  /** Its only attempt is silent. */
  | 'hedge';

/** A send of a request after its first one. */
export interface SendObservation {
  readonly service: string;
  readonly sendReason: SendReason;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
}

export interface SendLog {
  /** Records a send after the first one, before it starts. */
  record(
    call: ForwardedCall,
    progress: Progress,
    destination: Destination,
    lastEventId: number | undefined,
  ): void;
  /** Counts a send beside an attempt that is silent. */
  countHedge(call: ForwardedCall): void;
}

/**
 * Creates the log of repeated sends of one entry.
 *
 * @example
 * sendLog.record(call, progress, {type: 'endpoint', target}, 41);
 */
export function createSendLog(options: {
  readonly metrics: {countSend(observation: SendObservation): void};
  readonly log: Logger;
}): SendLog {
  function count({service, route}: ForwardedCall, reason: SendReason): void {
    options.metrics.countSend({
      service,
      sendReason: reason,
      isRepeatable: isRepeatable(route),
    });
  }

  return {
    record(call, progress, destination, lastEventId) {
      const reason = reasonOf(progress, destination);
      count(call, reason);
      options.log.info(
        {
          request: call.attemptId,
          reason,
          isRepeatable: isRepeatable(call.route),
          runs: progress.runCount,
          ...destinationFields(destination),
          ...(lastEventId !== undefined && {lastEventId}),
        },
        'request sent again',
      );
    },
    countHedge: call => count(call, 'hedge'),
  };
}

function reasonOf({runCount}: Progress, destination: Destination): SendReason {
  if (destination.type === 'endpoint' && destination.target.kvCache) {
    return 'migration';
  }
  return runCount === 0 ? 'not-run' : 'rerun';
}

function destinationFields(destination: Destination) {
  if (destination.type === 'peer') {
    return {peer: destination.peer.id};
  }
  const {choice, kvCache} = destination.target;
  return {
    endpoint: choice.endpoint,
    ...(kvCache && {kvCacheFrom: kvCache.source, kvCache: kvCache.handle}),
  };
}
