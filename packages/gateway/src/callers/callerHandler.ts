/** Handles a caller's request from its headers to the end of its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  discardBody,
  ServingError,
  toServingError,
  type Clock,
  type DrainGuard,
  type InFlightCounter,
  type Logger,
} from '@skylarkfield/base';
import type {OutcomeMeter} from '@skylarkfield/capacity';
import {requestFingerprint, type CrashQuarantine} from '@skylarkfield/routing';
import {chooseService, commonRegions, promptKeys} from '@skylarkfield/traffic';
import {quarantinedError} from '../attempts/attemptOutcome.js';
import {leavesBodyUnread, readBody} from './callerBody.js';
import {checkConnected, watchDisconnect, whenSent} from './callerPresence.js';
import {createCallerReply, type CallerReply} from './callerReply.js';
import type {CallFormat, CallHead} from '../contracts.js';
import {createDeadline} from './deadline.js';
import type {
  ForwardedCall,
  ForwardingResult,
} from '../forwarding/forwardedCall.js';
import type {Forwarding} from '../forwarding/forwarding.js';
import {memoize} from '../memoize.js';
import {watchOutcome} from '../forwarding/outcomeWatch.js';
import type {ActivePolicy} from '../policy/activePolicy.js';
import type {QuotaCharge, QuotaDecision} from '../quotas/quotaCharge.js';
import type {
  AdmittedRequest,
  RequestAdmission,
  RequestToAdmit,
} from './requestAdmission.js';
import type {RequestBodies} from './requestBodies.js';
import {createRequestLog} from './requestLog.js';
import type {RequestMetrics} from './requestMetrics.js';
import {suspectPartsOf, verdictFor} from '../crashes/crashGuard.js';

/** Serving state of the process. */
export interface ServingState {
  /** Whether the process accepts requests. */
  isServing(): boolean;
  /** Whether the process has read what it needs to serve requests. */
  isReady(): boolean;
  /**
   * Whether the process is about to stop, so that each connection is closed
   * after its next response.
   */
  isClosing(): boolean;
}

export interface CallerHandler {
  handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

interface CallerHandlerOptions {
  readonly policy: ActivePolicy;
  readonly chargeQuota: QuotaCharge;
  readonly crashQuarantine: Pick<CrashQuarantine, 'isEmpty' | 'verdictFor'>;
  readonly requestAdmission: RequestAdmission;
  readonly forwarding: Forwarding;
  readonly format: CallFormat;
  readonly requestBodies: RequestBodies;
  readonly servingState: ServingState;
  readonly drainGuard: DrainGuard;
  readonly inFlight: InFlightCounter;
  /** Counts model requests whose first event is late. */
  readonly outcomeMeter: Pick<OutcomeMeter, 'record'>;
  readonly metrics: RequestMetrics;
  readonly clock: Clock;
  readonly log: Logger;
  /**
   * Called when forwarding has ended, with the number of events that the caller
   * received, whether its response is complete or not.
   */
  onDidAnswer(service: string, head: CallHead, eventCount: number): void;
  /** Called when forwarding has ended, with the result of the request. */
  onDidConclude(
    call: Pick<ForwardedCall, 'service' | 'version' | 'route'>,
    result: ForwardingResult,
  ): void;
}

/** A request after validation and routing. */
interface AcceptedRequest extends RequestToAdmit {
  /** Set once the customer's quota has been checked. */
  quota?: QuotaDecision;
}

/**
 * Urgency levels of endpoints per priority step. Endpoints have ten levels and
 * priorities are small numbers, so a step of two leaves a level free between
 * priorities.
 */
const URGENCY_PER_PRIORITY = 2;
/** Lowest of the ten urgency levels of endpoints. */
const LOWEST_URGENCY = 9;

/**
 * Retry-After of a rejection while this entry is stopping, in milliseconds:
 * another entry can serve the request at once.
 */
export const LEAVING_RETRY_MS = 50;

/** Retry-After of a rejection before this entry is ready, in milliseconds. */
const NOT_READY_RETRY_MS = 400;

/**
 * Time for which the rest of a rejected request's body is discarded, in
 * milliseconds; its connection is closed after that.
 */
const DISCARD_TIMEOUT_MS = 10_000;

/**
 * Creates the handler of callers' requests.
 *
 * @example
 * const server = http.createServer((request, response) => void
 *   handler.handle(request, response));
 */
export function createCallerHandler(
  options: CallerHandlerOptions,
): CallerHandler {
  const {policy, chargeQuota, requestAdmission, forwarding, format, clock} =
    options;
  const {drainGuard} = options;
  const requestLog = createRequestLog(options);

  /** Validates and routes a request; throws the error to respond with. */
  function acceptRequest(
    request: IncomingMessage,
    arrivedAt: number,
  ): AcceptedRequest {
    const head = format.parseCall(request.headers);
    const {attemptId} = head;
    if (!options.servingState.isServing()) {
      throw new ServingError('leaving', 'this entry is stopping', {
        retryAfterMs: LEAVING_RETRY_MS,
      });
    }
    if (!options.servingState.isReady()) {
      throw notReadyError('this entry has not read the platform yet');
    }
    if (attemptId === undefined) {
      throw new ServingError('bad-request', 'the request has no attempt id');
    }
    const route = policy.routeOf(head.authority, request.url ?? '/');
    if (route === undefined) {
      throw new ServingError('not-found', 'no route matches');
    }
    const customer = policy.customerOf(route, head);
    const service = chooseService(route.services, attemptId);
    if (service === undefined) {
      throw new ServingError(
        'endpoint-unavailable',
        'the route has no service',
      );
    }
    const timeoutMs = Math.min(head.timeoutMs ?? Infinity, route.timeoutMs);
    const priority = customer?.priority ?? route.priority;
    return {
      head,
      attemptId,
      route,
      service,
      customer,
      priority,
      arrivedAt,
      deadlineAt: arrivedAt + timeoutMs,
    };
  }

  function rejectQuarantined(
    call: Pick<ForwardedCall, 'fingerprint' | 'suspectParts'>,
  ): void {
    const verdict = verdictFor(call, options.crashQuarantine);
    if (verdict.type === 'quarantined') {
      throw quarantinedError(verdict);
    }
  }

  async function serve(
    request: IncomingMessage,
    reply: CallerReply,
    acceptedRequest: AcceptedRequest,
    callerSignal: AbortSignal,
  ): Promise<ForwardingResult> {
    const body = await readBody(
      request,
      {
        maxBytes: policy.limits().bodyBytes,
        timeoutMs: acceptedRequest.deadlineAt - clock.now(),
      },
      options.requestBodies.memory,
      clock,
      callerSignal,
    );
    try {
      return await serveWithBody(
        request,
        body.bytes,
        reply,
        acceptedRequest,
        callerSignal,
      );
    } finally {
      body.dispose();
    }
  }

  async function serveWithBody(
    request: IncomingMessage,
    body: Buffer | undefined,
    reply: CallerReply,
    acceptedRequest: AcceptedRequest,
    callerSignal: AbortSignal,
  ): Promise<ForwardingResult> {
    const {head, attemptId, route, service, customer, priority, deadlineAt} =
      acceptedRequest;
    await checkConnected(callerSignal);
    // The body may have arrived late in the grace period.
    const rejection = drainGuard.rejectionFor(deadlineAt);
    if (rejection !== undefined) {
      throw rejection;
    }
    const fingerprint = memoize(() =>
      requestFingerprint({
        customer: customer?.name,
        authority: head.authority,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        body,
      }),
    );
    const suspectParts = suspectPartsOf(head.demand);
    rejectQuarantined({fingerprint, suspectParts});
    const refundQuota = await chargeQuota(acceptedRequest);
    const watchedOutcome = watchOutcome(acceptedRequest, reply, options);
    let admitted: AdmittedRequest;
    try {
      admitted = await drainGuard.admit(deadlineAt, callerSignal, signal =>
        requestAdmission.admit(acceptedRequest, fingerprint, signal),
      );
    } catch (error) {
      watchedOutcome.recordEnd(toServingError(error));
      refundQuota();
      throw error;
    }
    const admittedAt = clock.now();
    const deadline = createDeadline(
      clock,
      drainGuard,
      deadlineAt,
      callerSignal,
    );
    const {version, placement} = admitted;
    try {
      const result = await forwarding.forward(
        {
          head,
          attemptId,
          route,
          service,
          version,
          customer: customer?.name,
          regions: commonRegions(route.regions, customer?.regions),
          urgency:
            head.demand === undefined
              ? undefined
              : Math.min(LOWEST_URGENCY, priority * URGENCY_PER_PRIORITY),
          method: request.method ?? 'GET',
          path: request.url ?? '/',
          rawHeaders: request.rawHeaders,
          body,
          fingerprint,
          suspectParts,
          promptKeys: promptKeys(head.demand?.parts ?? []),
          placement,
          deadlineAt,
          signal: deadline.signal,
          onDidEndWork: (lastEndpoint, firstByteMs) =>
            admitted.release({
              outcome: 'ok',
              latencyMs: firstByteMs ?? clock.now() - admittedAt,
              lastEndpoint,
            }),
        },
        reply,
      );
      watchedOutcome.recordEnd(result.error);
      options.onDidAnswer(service, head, reply.eventCount());
      options.onDidConclude({service, version, route}, result);
      if (result.error?.run === 'not-run') {
        refundQuota();
      }
      admitted.release({
        outcome: admittedOutcome(result, callerSignal),
        latencyMs: result.firstByteMs ?? clock.now() - admittedAt,
        lastEndpoint: result.lastEndpoint,
      });
      return result;
    } finally {
      deadline.dispose();
      admitted.release({
        outcome: 'failed',
        latencyMs: clock.now() - admittedAt,
      });
    }
  }

  /** Ends the body of a rejected request. */
  function endBody(request: IncomingMessage, error: ServingError): void {
    if (leavesBodyUnread(error)) {
      options.requestBodies.lingering.end(request);
      return;
    }
    discardBody(
      request,
      {maxBytes: policy.limits().bodyBytes, timeoutMs: DISCARD_TIMEOUT_MS},
      clock,
    );
  }

  return {
    async handle(request, response) {
      const arrivedAt = clock.now();
      const callerSignal = watchDisconnect(response);
      const reply = createCallerReply({
        response,
        format,
        isClosing: options.servingState.isClosing,
      });
      const sent = whenSent(response);
      options.inFlight.begin();
      let acceptedRequest: AcceptedRequest | undefined;
      let result: ForwardingResult;
      try {
        acceptedRequest = acceptRequest(request, arrivedAt);
        result = await serve(request, reply, acceptedRequest, callerSignal);
      } catch (thrownValue) {
        const error = toServingError(thrownValue);
        const status = reply.sendError(error);
        result = {status, error, firstByteMs: undefined, endpoints: []};
        endBody(request, error);
      } finally {
        void sent.then(options.inFlight.end);
      }
      requestLog.record({
        acceptedRequest,
        attemptId:
          acceptedRequest?.attemptId ??
          format.parseCall(request.headers).attemptId,
        result,
        hasDisconnected: callerSignal.aborted,
        arrivedAt,
        eventCount: reply.eventCount(),
      });
    },
  };
}

function admittedOutcome({error}: ForwardingResult, callerSignal: AbortSignal) {
  if (error === undefined) {
    return 'ok';
  }
  if (callerSignal.aborted) {
    return 'cancelled';
  }
  return error.kind === 'overloaded' ? 'overloaded' : 'failed';
}

function notReadyError(message: string): ServingError {
  return new ServingError('not-ready', message, {
    retryAfterMs: NOT_READY_RETRY_MS,
  });
}
