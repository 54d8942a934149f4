/**
 * Distinguishes crashes of endpoints from other losses of requests.
 *
 * A healthy endpoint may close a connection, and a slow one may not respond in
 * time. An endpoint counts as crashed if it answers no later request either, or
 * is no longer registered.
 */
import type {Clock} from '@skylarkfield/base';
import type {Crash} from './crashEvidence.js';

/** A request whose endpoint may have crashed. */
export interface LostRequest {
  /** Fingerprint of the request. */
  readonly request: string;
  readonly endpoint: string;
}

/** Detects crashes of endpoints from losses of requests. */
export interface CrashDetector {
  /**
   * Records that the connection closed while the request may have been running.
   */
  recordConnectionLost(lostRequest: LostRequest): void;
  /**
   * Records that the endpoint did not respond to the request, which is a crash
   * if the endpoint was or will soon be deregistered.
   */
  recordUnanswered(lostRequest: LostRequest): void;
  /** Records that the endpoint was deregistered without a leave notice. */
  recordDeregistered(endpoint: string): void;
  /**
   * Records that the endpoint responded to a request that was sent at `sentAt`,
   * in monotonic milliseconds.
   */
  recordResponse(endpoint: string, sentAt: number): void;
  /** Returns whether a response can still refute that this was a crash. */
  isUnconfirmed(lostRequest: LostRequest): boolean;
  dump(): unknown;
}

/** Milliseconds within which a response to a later request refutes a crash. */
const CONFIRMATION_DELAY_MS = 300;

/** Time for which unanswered requests and deregistrations are kept, in ms. */
const UNANSWERED_TTL_MS = 15_000;

/** Maximum number of unanswered requests kept, and of deregistrations kept. */
const MAX_UNANSWERED = 500;

/** A crash that a response may refute. */
interface PossibleCrash {
  readonly crash: Crash;
  /** Time at which the request was lost, in monotonic milliseconds. */
  readonly lostAtMs: number;
}

/**
 * Creates the crash detector of one entry.
 *
 * @example
 * detector.recordConnectionLost({request: fingerprint, endpoint: 'i-1@7'});
 */
export function createCrashDetector(options: {
  readonly clock: Clock;
  /** Returns wall-clock milliseconds, comparable between entries. */
  wallMs(): number;
  /**
   * Called for a possible crash, which is confirmed or refuted shortly after.
   */
  onDidSuspect(crash: Crash): void;
  onDidRefute(crash: Crash): void;
  onDidConfirm(crash: Crash): void;
}): CrashDetector {
  const {clock, wallMs} = options;
  const unconfirmedCrashes = new Set<PossibleCrash>();
  let unansweredRequests: PossibleCrash[] = [];
  /** Deregistrations without a leave notice, in monotonic ms, by endpoint. */
  const deregistrationTimes = new Map<string, number>();

  function createPossibleCrash({
    request,
    endpoint,
  }: LostRequest): PossibleCrash {
    const crash = {request, endpoint, atMs: Math.round(wallMs())};
    return {crash, lostAtMs: clock.now()};
  }

  function removeExpired(): void {
    const oldestAt = clock.now() - UNANSWERED_TTL_MS;
    unansweredRequests = unansweredRequests
      .filter(({lostAtMs}) => lostAtMs >= oldestAt)
      .slice(-MAX_UNANSWERED);
    for (const [endpoint, deregisteredAt] of deregistrationTimes) {
      if (
        deregisteredAt < oldestAt ||
        deregistrationTimes.size > MAX_UNANSWERED
      ) {
        deregistrationTimes.delete(endpoint);
      }
    }
  }

  return {
    recordConnectionLost(lostRequest) {
      const possibleCrash = createPossibleCrash(lostRequest);
      unconfirmedCrashes.add(possibleCrash);
      options.onDidSuspect(possibleCrash.crash);
      clock.after(CONFIRMATION_DELAY_MS, () => {
        if (unconfirmedCrashes.delete(possibleCrash)) {
          options.onDidConfirm(possibleCrash.crash);
        }
      });
    },
    recordUnanswered(lostRequest) {
      removeExpired();
      const possibleCrash = createPossibleCrash(lostRequest);
      if (deregistrationTimes.has(lostRequest.endpoint)) {
        options.onDidConfirm(possibleCrash.crash);
        return;
      }
      unansweredRequests.push(possibleCrash);
    },
    recordDeregistered(endpoint) {
      removeExpired();
      deregistrationTimes.set(endpoint, clock.now());
      const confirmedCrashes = unansweredRequests.filter(
        ({crash}) => crash.endpoint === endpoint,
      );
      unansweredRequests = unansweredRequests.filter(
        ({crash}) => crash.endpoint !== endpoint,
      );
      confirmedCrashes.forEach(({crash}) => options.onDidConfirm(crash));
    },
    recordResponse(endpoint, sentAt) {
      deregistrationTimes.delete(endpoint);
      if (unconfirmedCrashes.size === 0 && unansweredRequests.length === 0) {
        return;
      }
      const isRefuted = ({crash, lostAtMs}: PossibleCrash) =>
        crash.endpoint === endpoint && lostAtMs < sentAt;
      unansweredRequests = unansweredRequests.filter(
        possibleCrash => !isRefuted(possibleCrash),
      );
      for (const possibleCrash of [...unconfirmedCrashes].filter(isRefuted)) {
        unconfirmedCrashes.delete(possibleCrash);
        options.onDidRefute(possibleCrash.crash);
      }
    },
    isUnconfirmed: ({request, endpoint}) =>
      [...unconfirmedCrashes].some(
        ({crash}) => crash.request === request && crash.endpoint === endpoint,
      ),
    dump: () => ({
      unconfirmed: unconfirmedCrashes.size,
      silent: unansweredRequests.length,
      gone: deregistrationTimes.size,
    }),
  };
}
