/**
 * Distinguishes crashes of endpoints from other losses of requests.
 *
 * A healthy endpoint may close a connection, and a slow one may not respond in
 * time. A crashed endpoint answers no other request or is no longer registered.
 */
import type {Clock} from '@skylarkfield/base';
import type {Crash} from './crashEvidence.js';

/** A request whose endpoint may have crashed. */
export interface LostRequest {
  /** Fingerprint of the request. */
  readonly request: string;
  readonly endpoint: string;
}

export interface CrashDetector {
  /** The connection closed while the request may have been running. */
  recordConnectionLost(lost: LostRequest): void;
  /** The endpoint did not respond: a crash if the endpoint is deregistered. */
  recordUnanswered(lost: LostRequest): void;
  /** The endpoint was deregistered without announcing that it leaves. */
  recordDeregistered(endpoint: string): void;
  /** The endpoint responded to a request sent at this monotonic millisecond. */
  recordResponse(endpoint: string, sentAt: number): void;
  /** Whether the crash can still be refuted. */
  isUnconfirmed(crash: LostRequest): boolean;
  dump(): unknown;
}

/** Milliseconds in which a response to a later request refutes a crash. */
const CONFIRMATION_DELAY_MS = 300;

/** Lifetime of unanswered requests and deregistrations, in milliseconds. */
const UNANSWERED_TTL_MS = 15_000;

/** Largest number of unanswered requests, and of deregistrations. */
const MAX_UNANSWERED = 500;

interface PossibleCrash {
  readonly crash: Crash;
  /** Monotonic milliseconds of the loss. */
  readonly lostAt: number;
}

/**
 * Creates the crash detector of one entry.
 *
 * @example
 * detector.recordConnectionLost({request: fingerprint, endpoint: 'i-1@7'});
 */
export function createCrashDetector(options: {
  readonly clock: Clock;
  /** Wall-clock milliseconds, comparable between entries. */
  wallMs(): number;
  /** A crash is likely; it is confirmed or refuted after a short delay. */
  onDidSuspect(crash: Crash): void;
  onDidRefute(crash: Crash): void;
  onDidConfirm(crash: Crash): void;
}): CrashDetector {
  const {clock, wallMs} = options;
  const unconfirmedCrashes = new Set<PossibleCrash>();
  let unanswered: PossibleCrash[] = [];
  /** Monotonic milliseconds of unannounced deregistrations, by endpoint. */
  const deregistered = new Map<string, number>();

  function possibleCrashOf({request, endpoint}: LostRequest): PossibleCrash {
    const crash = {request, endpoint, atMs: Math.round(wallMs())};
    return {crash, lostAt: clock.now()};
  }

  function expireOld(): void {
    const oldestAt = clock.now() - UNANSWERED_TTL_MS;
    unanswered = unanswered
      .filter(({lostAt}) => lostAt >= oldestAt)
      .slice(-MAX_UNANSWERED);
    for (const [endpoint, at] of deregistered) {
      if (at < oldestAt || deregistered.size > MAX_UNANSWERED) {
        deregistered.delete(endpoint);
      }
    }
  }

  return {
    recordConnectionLost(lost) {
      const possibleCrash = possibleCrashOf(lost);
      unconfirmedCrashes.add(possibleCrash);
      options.onDidSuspect(possibleCrash.crash);
      clock.after(CONFIRMATION_DELAY_MS, () => {
        if (unconfirmedCrashes.delete(possibleCrash)) {
          options.onDidConfirm(possibleCrash.crash);
        }
      });
    },
    recordUnanswered(lost) {
      expireOld();
      const possibleCrash = possibleCrashOf(lost);
      if (deregistered.has(lost.endpoint)) {
        options.onDidConfirm(possibleCrash.crash);
        return;
      }
      unanswered.push(possibleCrash);
    },
    recordDeregistered(endpoint) {
      expireOld();
      deregistered.set(endpoint, clock.now());
      const lost = unanswered.filter(({crash}) => crash.endpoint === endpoint);
      unanswered = unanswered.filter(({crash}) => crash.endpoint !== endpoint);
      lost.forEach(({crash}) => options.onDidConfirm(crash));
    },
    recordResponse(endpoint, sentAt) {
      deregistered.delete(endpoint);
      if (unconfirmedCrashes.size === 0 && unanswered.length === 0) {
        return;
      }
      const isRefuted = ({crash, lostAt}: PossibleCrash) =>
        crash.endpoint === endpoint && lostAt < sentAt;
      unanswered = unanswered.filter(
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
      silent: unanswered.length,
      gone: deregistered.size,
    }),
  };
}
