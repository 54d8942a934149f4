/** Charges a caller's request to the quota of its customer. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {
  CustomerConfig,
  QuotaGrant,
  QuotaGrants,
  QuotaState,
} from '@skylarkfield/traffic';
import type {CallHead} from '../contracts.js';
import type {PeerReports} from '../digests/peerReports.js';
import type {PeerVisibility} from '../digests/peerVisibility.js';
import type {
  QuotaObservation,
  RequestMetrics,
} from '../callers/requestMetrics.js';

/** Inputs and outcome of the decision whether a quota allows a request. */
export interface QuotaDecision extends QuotaObservation, Partial<QuotaState> {
  readonly amount: number;
  /** Entry that decided. */
  readonly decidedBy: string;
}

/** A request whose quota is checked. */
interface ChargedRequest {
  readonly head: CallHead;
  readonly customer: CustomerConfig | undefined;
  /** Set once the quota has been checked. */
  quota?: QuotaDecision;
}

/**
 * Charges a request, and returns a function that refunds it. Throws
 * `overloaded` if the quota is exhausted, or `not-ready` if no entry could
 * decide.
 */
export type QuotaCharge = (request: ChargedRequest) => Promise<() => void>;

/**
 * Retry-After of a rejection before this entry knows the number of entries, in
 * milliseconds.
 */
const NOT_READY_RETRY_MS = 400;

/**
 * Creates the charging of quotas.
 *
 * @example
 * const refund = await chargeQuota(acceptedRequest);
 */
export function createQuotaCharge(options: {
  readonly quotaGrants: Pick<QuotaGrants, 'consume'>;
  readonly peerVisibility: Pick<PeerVisibility, 'isEntryCountKnown'>;
  readonly peerReports: Pick<PeerReports, 'oldestReportAgeMs'>;
  readonly metrics: Pick<RequestMetrics, 'recordQuotaDecision'>;
  readonly clock: Clock;
}): QuotaCharge {
  const {quotaGrants, peerVisibility, peerReports, metrics, clock} = options;

  /** Rejections by outcome. */
  const rejections: Readonly<
    Record<
      Exclude<QuotaGrant['outcome'], 'granted'>,
      (customer: string, retryAfterMs: number) => ServingError
    >
  > = {
    exhausted: (customer, retryAfterMs) =>
      new ServingError('overloaded', `the quota of ${customer} is exhausted`, {
        run: 'not-run',
        retryAfterMs,
      }),
    undecided: (customer, retryAfterMs) =>
      new ServingError(
        'not-ready',
        `no entry accounts for the quota of ${customer} at the moment`,
        {run: 'not-run', retryAfterMs},
      ),
  };

  async function consume(
    customer: CustomerConfig,
    amount: number,
    request: ChargedRequest,
  ): Promise<QuotaGrant> {
    const startedAtMs = clock.now();
    const grant = await quotaGrants.consume(customer, amount);
    const observation = {
      outcome: grant.outcome,
      reportAgeMs: Math.round(peerReports.oldestReportAgeMs()),
      waitedMs: Math.round(clock.now() - startedAtMs),
    };
    metrics.recordQuotaDecision(observation);
    request.quota = {
      ...observation,
      amount,
      decidedBy: grant.decidedBy,
      ...grant.state,
    };
    return grant;
  }

  return async request => {
    const {customer, head} = request;
    const amount = quotaAmount(customer, head);
    if (customer === undefined || amount === 0) {
      return () => {};
    }
    if (!peerVisibility.isEntryCountKnown()) {
      throw new ServingError(
        'not-ready',
        'the number of entries is not known yet',
        {retryAfterMs: NOT_READY_RETRY_MS},
      );
    }
    const grant = await consume(customer, amount, request);
    if (grant.outcome === 'granted') {
      return grant.refund;
    }
    throw rejections[grant.outcome](customer.name, grant.retryAfterMs);
  };
}

/**
 * Returns the amount that a request uses of its customer's quota, in the
 * quota's unit; 0 without a quota.
 */
function quotaAmount(
  customer: CustomerConfig | undefined,
  {demand}: CallHead,
): number {
  if (customer?.quota === undefined) {
    return 0;
  }
  if (customer.quota.unit === 'requests') {
    return 1;
  }
  return demand === undefined
    ? customer.quota.plainTokens
    : demand.promptTokens + demand.mostOutputTokens;
}
