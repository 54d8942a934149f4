/** Writes the log line and the metrics of a completed request. */
import type {Clock, Logger} from '@skylarkfield/base';
import type {CustomerConfig, Route} from '@skylarkfield/traffic';
import type {ResponseEnd} from '../attempts/attemptResult.js';
import type {CallHead} from '../contracts.js';
import type {ForwardingResult} from '../forwarding/forwardedCall.js';
import type {ActivePolicy} from '../policy/activePolicy.js';
import type {QuotaDecision} from '../quotas/quotaCharge.js';
import type {RequestMetrics} from './requestMetrics.js';

/** A request that has ended. */
export interface EndedRequest {
  /** The request after routing; undefined if it was rejected before. */
  readonly acceptedRequest:
    | {
        readonly head: CallHead;
        readonly route: Route;
        readonly service: string;
        readonly customer: CustomerConfig | undefined;
        readonly quota?: QuotaDecision | undefined;
      }
    | undefined;
  readonly attemptId: string | undefined;
  readonly result: ForwardingResult;
  /** Whether the caller disconnected before its response was complete. */
  readonly hasDisconnected: boolean;
  /** Monotonic milliseconds at which the request's headers arrived. */
  readonly arrivedAt: number;
  /** Number of events passed on to the caller. */
  readonly eventCount: number;
}

export interface RequestLog {
  record(request: EndedRequest): void;
}

/**
 * Creates the log of one entry's requests.
 *
 * @example
 * requestLog.record({acceptedRequest, attemptId, result,
 *   hasDisconnected: false, arrivedAt, eventCount: 0});
 */
export function createRequestLog(options: {
  readonly policy: Pick<ActivePolicy, 'version' | 'ageMs'>;
  readonly metrics: RequestMetrics;
  readonly clock: Clock;
  readonly log: Logger;
}): RequestLog {
  const {policy, metrics, clock, log} = options;
  return {
    record({
      acceptedRequest,
      attemptId,
      result,
      hasDisconnected,
      arrivedAt,
      eventCount,
    }) {
      const {
        status,
        error,
        firstByteMs,
        firstSendAt,
        fingerprint,
        responseEnd,
        retryDenial,
      } = result;
      const tookMs = clock.now() - arrivedAt;
      metrics.record({
        service: acceptedRequest?.service,
        kind: error?.kind ?? 'ok',
        firstByteMs,
        tookMs,
        hasLostEndpoint: fingerprint !== undefined,
      });
      log.info(
        {
          request: attemptId,
          route: acceptedRequest?.route.name,
          service: acceptedRequest?.service,
          customer: acceptedRequest?.customer?.name,
          ...(acceptedRequest?.quota && {quota: acceptedRequest.quota}),
          policy: policy.version(),
          policyAgeMs: Math.round(policy.ageMs()),
          endpoints: result.endpoints,
          ...(result.peers && {peers: result.peers}),
          status,
          ...(error && {kind: error.kind, run: error.run, why: error.message}),
          ...(error?.retryAfterMs !== undefined && {
            retryAfterMs: Math.round(error.retryAfterMs),
          }),
          ...(retryDenial && {retryDenial}),
          ...lossFields(fingerprint, acceptedRequest?.head),
          ...endFields(responseEnd),
          ...(hasDisconnected && {hasLeft: hasDisconnected}),
          ...(firstSendAt !== undefined && {
            queuedMs: Math.round(firstSendAt - arrivedAt),
          }),
          ...(firstByteMs !== undefined && {firstMs: Math.round(firstByteMs)}),
          ...(acceptedRequest?.route.kind === 'streaming' && {
            events: eventCount,
          }),
          ...demandFields(acceptedRequest?.head, result),
          tookMs: Math.round(tookMs),
        },
        'request',
      );
    },
  };
}

/**
 * Returns the log fields of a response whose end was not marked, or not after
 * an event.
 *
 * @example
 * log.info({...endFields(result.responseEnd)}, 'request');
 */
export function endFields(end: ResponseEnd | undefined) {
  return {
    ...(end?.framing === 'close' && {framing: end.framing}),
    ...(end && end.remainderBytes > 0 && {remainderBytes: end.remainderBytes}),
  };
}

/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 16;

/**
 * Returns the log fields by which requests that lost their endpoint can be
 * compared: the fingerprint, and the ids of the prompt parts that other requests
 * may have.
 *
 * @example
 * log.info({...lossFields(result.fingerprint, call.head)}, 'request');
 */
export function lossFields(
  fingerprint: string | undefined,
  head: Pick<CallHead, 'demand'> | undefined,
): {readonly fingerprint?: string; readonly parts?: readonly string[]} {
  if (fingerprint === undefined) {
    return {};
  }
  const sharedParts = head?.demand?.parts.slice(0, -1) ?? [];
  const parts = sharedParts.slice(0, MAX_LOGGED_PARTS).map(({id}) => id);
  return {fingerprint, ...(parts.length > 0 && {parts})};
}

function demandFields(
  head: CallHead | undefined,
  {tokensAhead}: ForwardingResult,
) {
  return (
    head?.demand && {
      promptTokens: head.demand.promptTokens,
      mostOutputTokens: head.demand.mostOutputTokens,
      ...(tokensAhead !== undefined && {tokensAhead: Math.round(tokensAhead)}),
    }
  );
}
