/**
 * Admits callers' requests: through the scheduler of their service, or by the
 * limits of this entry for other services and while no scheduler answers.
 */
import type {AdmissionController} from '@skylarkfield/admission';
import {errorOfAbort, isServingError, ServingError} from '@skylarkfield/base';
import type {Prompt, RejectionReason} from '@skylarkfield/scheduling';
import {
  countOwnTokens,
  isRepeatable,
  type CustomerConfig,
  type ModelDemand,
  type Route,
} from '@skylarkfield/traffic';
import type {CallHead} from '../contracts.js';
import {callerLeavesAt} from './callerDeparture.js';
import type {VersionGroup} from '../endpoints/endpointDirectory.js';
import type {
  CallPlacement,
  ForwardingResult,
} from '../forwarding/forwardedCall.js';
import type {
  Placement,
  SchedulerClient,
} from '../scheduling/schedulerContracts.js';
import type {SchedulerUse} from './schedulerUse.js';

/** A request after validation and routing. */
export interface RequestToAdmit {
  readonly head: CallHead;
  readonly attemptId: string;
  readonly route: Route;
  readonly service: string;
  readonly customer: CustomerConfig | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Monotonic milliseconds at which the request arrived. */
  readonly arrivedAt: number;
  /** Deadline of the response, in monotonic milliseconds. */
  readonly deadlineAt: number;
}

/** A request that was admitted; `release` is called exactly once. */
export interface AdmittedRequest {
  readonly version: VersionGroup;
  /** Set if the scheduler of the service has placed the request. */
  readonly placement: CallPlacement | undefined;
  release(result: AdmittedResult): void;
}

/** Result of an admitted request. */
export interface AdmittedResult {
  readonly outcome: 'ok' | 'failed' | 'overloaded' | 'cancelled';
  /** Milliseconds from the admission to the first byte or the whole response. */
  readonly latencyMs: number;
  /** Router key of the endpoint that the request was last sent to. */
  readonly lastEndpoint?: ForwardingResult['lastEndpoint'];
}

export interface RequestAdmission {
  /**
   * Admits a request. Throws `overloaded`, `deadline-exceeded` or the error of
   * the signal, each of which states that the request was not run, or
   * `endpoint-unavailable` if the service was removed.
   */
  admit(
    request: RequestToAdmit,
    fingerprint: () => string,
    signal: AbortSignal,
  ): Promise<AdmittedRequest>;
}

/** Lowest of the eight urgency levels of admission. */
const LOWEST_URGENCY = 7;

/**
 * Minimum admission cost of a request, as a fraction of the cost of a typical
 * request: even the smallest request occupies a slot.
 */
const MIN_ADMISSION_COST = 0.1;

/**
 * Retry-After of a rejection after a new policy has removed the service of a
 * request, in milliseconds: the policy may have moved the route to another one.
 */
const REMOVED_SERVICE_RETRY_MS = 50;

const REJECTION_TEXTS: Readonly<Record<RejectionReason, string>> = {
  'no-room': 'has no room for the request before its deadline',
  'waited-in-vain': 'cannot respond before the deadline any more',
};

/**
 * Creates the admission of one entry.
 *
 * @example
 * const admitted = await requestAdmission.admit(request, fingerprint, signal);
 * admitted.release({outcome: 'ok', latencyMs: 12});
 */
export function createRequestAdmission(options: {
  readonly admission: AdmissionController;
  readonly schedulerClient: Pick<SchedulerClient, 'place'>;
  readonly schedulerUse: SchedulerUse;
  readonly failureDomain: string;
  /**
   * Returns the uncached prompt tokens of a typical request to a model service.
   */
  usualOwnTokens(service: string): number;
  /**
   * Selects a request's version group. All entries select the same group for
   * the same `key`, which is the caller's attempt id.
   */
  chooseGroup(
    service: string,
    key: string,
    isRepeatable: boolean,
  ): VersionGroup;
  /** Called before a request is admitted, to record its work. */
  onDidAccept(service: string, head: CallHead): void;
}): RequestAdmission {
  const {admission, schedulerClient, schedulerUse} = options;
  /** Requests in progress that this entry has admitted on its own. */
  const localCounts = new Map<string, number>();

  function addLocal(service: string, increment: number): void {
    localCounts.set(service, (localCounts.get(service) ?? 0) + increment);
  }

  function asksScheduler({service, deadlineAt}: RequestToAdmit): boolean {
    const localCount = localCounts.get(service) ?? 0;
    return schedulerUse.asks(service, deadlineAt, localCount);
  }

  function versionOf({service, attemptId, route}: RequestToAdmit) {
    return options.chooseGroup(service, attemptId, isRepeatable(route));
  }

  /**
   * Returns the admission cost of a request in proportion to its work: a long
   * prompt costs as much as several typical prompts.
   */
  function admissionCost(service: string, {demand}: CallHead): number {
    if (demand === undefined) {
      return 1;
    }
    const usualOwnTokens = Math.max(1, options.usualOwnTokens(service));
    return Math.max(
      MIN_ADMISSION_COST,
      countOwnTokens(demand) / usualOwnTokens,
    );
  }

  async function admitLocally(
    request: RequestToAdmit,
    signal: AbortSignal,
  ): Promise<AdmittedRequest> {
    const {service, customer, priority, deadlineAt, head} = request;
    try {
      const permit = await admission.admit(
        {
          service,
          customer: customer?.name ?? '',
          urgency: Math.min(priority, LOWEST_URGENCY),
          deadline: deadlineAt,
          cost: admissionCost(service, head),
        },
        signal,
      );
      addLocal(service, 1);
      let isReleased = false;
      return {
        version: versionOf(request),
        placement: undefined,
        release(result) {
          if (!isReleased) {
            isReleased = true;
            addLocal(service, -1);
          }
          permit.release(result);
        },
      };
    } catch (error) {
      throw isServingError(error, 'unknown-service')
        ? removedServiceError(error)
        : error;
    }
  }

  function toAdmitted(
    {service}: RequestToAdmit,
    version: VersionGroup,
    placement: Placement,
  ): AdmittedRequest {
    admission.depositRetry(service);
    let isReleased = false;
    return {
      version,
      placement: {
        endpoint: placement.endpoint,
        recordBegin: placement.recordBegin,
      },
      release({outcome, lastEndpoint}) {
        if (!isReleased) {
          isReleased = true;
          // A request that was never sent tells nothing of its endpoint.
          placement.end(
            lastEndpoint === undefined ? 'cancelled' : outcome,
            lastEndpoint,
          );
        }
      },
    };
  }

  /** Asks the scheduler; undefined if none has answered. */
  async function admitScheduled(
    request: RequestToAdmit,
    fingerprint: () => string,
    signal: AbortSignal,
  ): Promise<AdmittedRequest | undefined> {
    const {head, attemptId, route, service, customer, priority} = request;
    const version = versionOf(request);
    const answer = await schedulerClient.place(
      {
        service,
        version,
        id: attemptId,
        route: route.name,
        urgency: Math.min(priority, LOWEST_URGENCY),
        customer: customer?.name ?? '',
        failureDomain: options.failureDomain,
        targetAt: request.arrivedAt + (route.goalMs || route.timeoutMs),
        deadlineAt: callerLeavesAt(
          route,
          request.arrivedAt,
          request.deadlineAt,
        ),
        endsAt: request.deadlineAt,
        ...(head.demand && {prompt: toPrompt(head.demand)}),
        fingerprint: fingerprint(),
      },
      signal,
    );
    if (answer.type === 'placed') {
      return toAdmitted(request, version, answer.placement);
    }
    if (answer.type === 'rejected') {
      throw new ServingError(
        'deadline-exceeded',
        `${service} ${REJECTION_TEXTS[answer.reason]}`,
        {run: 'not-run', retryAfterMs: answer.retryAfterMs},
      );
    }
    if (answer.type === 'cancelled') {
      throw errorOfAbort(signal, 'the caller has left');
    }
    return undefined;
  }

  return {
    async admit(request, fingerprint, signal) {
      options.onDidAccept(request.service, request.head);
      const admitted = asksScheduler(request)
        ? await admitScheduled(request, fingerprint, signal)
        : undefined;
      return admitted ?? admitLocally(request, signal);
    },
  };
}

function toPrompt(demand: ModelDemand): Prompt {
  return {
    ownTokens: countOwnTokens(demand),
    promptTokens: demand.promptTokens,
    sharedParts: demand.parts.slice(0, -1),
  };
}

/** Returns the error of a request whose service is no longer in the policy. */
function removedServiceError(cause: ServingError): ServingError {
  return new ServingError('endpoint-unavailable', cause.message, {
    run: 'not-run',
    retryAfterMs: REMOVED_SERVICE_RETRY_MS,
    cause,
  });
}
