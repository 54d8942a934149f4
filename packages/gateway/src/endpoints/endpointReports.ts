/** Applies what endpoints report of themselves in the heads of their responses. */
import {createFirstOccurrences, type Logger} from '@skylarkfield/base';
import type {
  CrashQuarantine,
  Departures,
  RateLimits,
  Rests,
  Router,
  SlotShares,
  WarmUps,
} from '@skylarkfield/routing';
import type {ResponseHead} from '../contracts.js';

export interface EndpointReports {
  /**
   * Applies the head of a response to a request that was sent at `sentAt`, in
   * monotonic milliseconds.
   */
  recordHead(endpoint: string, head: ResponseHead, sentAt: number): void;
  /**
   * Applies the head of a response to a probe, which any process at the
   * endpoint's address answers.
   */
  recordProbeHead(endpoint: string, head: ResponseHead): void;
  /**
   * Records that data of a response that has begun arrived, to a request that
   * was sent at `sentAt`, in monotonic milliseconds.
   */
  recordData(endpoint: string, sentAt: number): void;
  /** Applies the load that an endpoint reports while it runs a request. */
  recordLoad(endpoint: string, head: ResponseHead): void;
}

/** Number of endpoints of which a malformed report is known to be logged. */
const MAX_LOGGED_ENDPOINTS = 1_000;

/** Longest logged part of a malformed report, in characters. */
const MAX_LOGGED_LENGTH = 80;

/**
 * Creates the reports of one entry's endpoints, which are known by their router
 * keys.
 *
 * @example
 * endpointReports.recordHead('i-1@7', head, sentAt);
 */
export function createEndpointReports(options: {
  readonly router: Pick<Router, 'recordLoadReport'>;
  readonly rateLimits: Pick<RateLimits, 'recordLimit'>;
  readonly slotShares: Pick<SlotShares, 'recordTolerance'>;
  readonly warmUps: Pick<WarmUps, 'recordResponse'>;
  readonly crashQuarantine: Pick<
    CrashQuarantine,
    'recordResponse' | 'recordData'
  >;
  readonly departures: Pick<Departures, 'recordAnnouncement'>;
  readonly rests: Pick<Rests, 'recordRest' | 'recordAnswer'>;
  /** Returns the endpoints registered at the address of the endpoint. */
  endpointsAtAddressOf(endpoint: string): readonly string[];
  readonly log: Pick<Logger, 'warn'>;
}): EndpointReports {
  const {router, rateLimits, slotShares, warmUps, departures, rests} = options;
  const isFirstMalformed = createFirstOccurrences(MAX_LOGGED_ENDPOINTS);
  let loadReportCount = 0;

  /** Applies whether an endpoint wants further requests. */
  function recordAcceptance(
    endpoint: string,
    {isLeaving, restMs}: ResponseHead,
  ): void {
    if (restMs !== undefined) {
      rests.recordRest(endpoint, restMs);
    }
    if (isLeaving) {
      departures.recordAnnouncement(endpoint);
    }
  }

  function logMalformedLoad(endpoint: string, report: string): void {
    if (isFirstMalformed(endpoint)) {
      options.log.warn(
        {endpoint, report: report.slice(0, MAX_LOGGED_LENGTH)},
        'malformed load report ignored',
      );
    }
  }

  /** Applies a head that another process at the endpoint's address has sent. */
  function recordMisdirected(endpoint: string, head: ResponseHead): void {
    options
      .endpointsAtAddressOf(endpoint)
      .filter(other => other !== endpoint)
      .forEach(other => recordAcceptance(other, head));
  }

  return {
    recordHead(endpoint, head, sentAt) {
      warmUps.recordResponse(endpoint);
      if (head.isMisdirected) {
        recordMisdirected(endpoint, head);
        return;
      }
      options.crashQuarantine.recordResponse(endpoint, sentAt);
      rateLimits.recordLimit(endpoint, head.limitPerSecond);
      slotShares.recordTolerance(endpoint, head.rejectionsPerSecond);
      if (head.restMs === undefined) {
        rests.recordAnswer(endpoint);
      }
      recordAcceptance(endpoint, head);
    },
    recordProbeHead: (endpoint, head) =>
      options
        .endpointsAtAddressOf(endpoint)
        .forEach(sender => recordAcceptance(sender, head)),
    recordData: options.crashQuarantine.recordData,
    recordLoad(endpoint, {load, malformedLoad}) {
      if (malformedLoad !== undefined) {
        logMalformedLoad(endpoint, malformedLoad);
      }
      if (load === undefined) {
        return;
      }
      loadReportCount += 1;
      router.recordLoadReport(endpoint, {
        sequence: loadReportCount,
        ...load,
        waitingPromptTokens: 0,
        cacheUse: 0,
      });
    },
  };
}
