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
  /** Keys of the parts of its prompt that are suspected too. */
  readonly parts?: readonly string[];
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
  /**
   * Records a response whose end only the close of its connection marks. It is
   * complete if the endpoint answers a later request, and was broken off by a
   * crash if the endpoint refuses connections or is deregistered.
   */
  recordUnmarkedEnd(lostRequest: LostRequest): void;
  /** Records that the endpoint did not accept a connection. */
  recordUnreachable(endpoint: string): void;
  /** Records that the endpoint was deregistered without a leave notice. */
  recordDeregistered(endpoint: string): void;
  /**
   * Records that the endpoint responded to a request that was sent at `sentAt`,
   * in monotonic milliseconds.
   */
  recordResponse(endpoint: string, sentAt: number): void;
  /** Returns whether a response can still refute this crash. */
  isUnconfirmed(crash: Pick<Crash, 'request' | 'endpoint'>): boolean;
  dump(): unknown;
}

/** Milliseconds within which a response to a later request refutes a crash. */
const CONFIRMATION_DELAY_MS = 300;

/**
 * Milliseconds within which a response to a later request shows that a response
 * with an unmarked end was complete; later it may come from a restarted process.
 */
const COMPLETION_DELAY_MS = 1_000;

/** Time for which unanswered requests and deregistrations are kept, in ms. */
const UNANSWERED_TTL_MS = 15_000;

/**
 * Maximum number of unanswered requests kept, of unmarked ends kept, and of
 * deregistrations kept.
 */
const MAX_UNANSWERED = 500;

/** A crash that a response may refute. */
interface PossibleCrash {
  readonly lostRequest: LostRequest;
  /** One for each suspect of the request. */
  readonly crashes: readonly Crash[];
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
   * Called for a possible crash, which is confirmed or refuted shortly after,
   * with one element for each suspect.
   */
  onDidSuspect(crashes: readonly Crash[]): void;
  onDidRefute(crashes: readonly Crash[]): void;
  onDidConfirm(crashes: readonly Crash[]): void;
  /** Called when a response with an unmarked end proves to be complete. */
  onDidComplete(request: string, parts: readonly string[]): void;
}): CrashDetector {
  const {clock, wallMs} = options;
  const unconfirmedCrashes = new Set<PossibleCrash>();
  let unansweredRequests: readonly PossibleCrash[] = [];
  let unmarkedEnds: readonly PossibleCrash[] = [];
  /** Deregistrations without a leave notice, in monotonic ms, by endpoint. */
  const deregistrationTimes = new Map<string, number>();

  function createPossibleCrash(lostRequest: LostRequest): PossibleCrash {
    const {request, parts = [], endpoint} = lostRequest;
    const atMs = Math.round(wallMs());
    return {
      lostRequest,
      crashes: [request, ...parts].map(suspect => ({
        request: suspect,
        endpoint,
        atMs,
      })),
      lostAtMs: clock.now(),
    };
  }

  function removeExpired(): void {
    const oldestAt = clock.now() - UNANSWERED_TTL_MS;
    const keepRecent = (possibleCrashes: readonly PossibleCrash[]) =>
      possibleCrashes
        .filter(({lostAtMs}) => lostAtMs >= oldestAt)
        .slice(-MAX_UNANSWERED);
    unansweredRequests = keepRecent(unansweredRequests);
    unmarkedEnds = keepRecent(unmarkedEnds);
    for (const [endpoint, deregisteredAt] of deregistrationTimes) {
      if (
        deregisteredAt < oldestAt ||
        deregistrationTimes.size > MAX_UNANSWERED
      ) {
        deregistrationTimes.delete(endpoint);
      }
    }
  }

  function confirm(possibleCrashes: readonly PossibleCrash[]): void {
    possibleCrashes.forEach(({crashes}) => options.onDidConfirm(crashes));
  }

  function confirmUnmarkedEnds(endpoint: string): void {
    const [ended, others] = partitionByEndpoint(unmarkedEnds, endpoint);
    unmarkedEnds = others;
    confirm(ended);
  }

  /** Applies a response to the requests that were lost before it was sent. */
  function refuteLosses(
    isRefuted: (possibleCrash: PossibleCrash) => boolean,
  ): void {
    unansweredRequests = unansweredRequests.filter(
      possibleCrash => !isRefuted(possibleCrash),
    );
    for (const possibleCrash of [...unconfirmedCrashes].filter(isRefuted)) {
      unconfirmedCrashes.delete(possibleCrash);
      options.onDidRefute(possibleCrash.crashes);
    }
    const refutedEnds = unmarkedEnds.filter(isRefuted);
    unmarkedEnds = unmarkedEnds.filter(end => !isRefuted(end));
    refutedEnds
      .filter(({lostAtMs}) => clock.now() - lostAtMs < COMPLETION_DELAY_MS)
      .forEach(({lostRequest: {request, parts = []}}) =>
        options.onDidComplete(request, parts),
      );
  }

  return {
    recordConnectionLost(lostRequest) {
      const possibleCrash = createPossibleCrash(lostRequest);
      unconfirmedCrashes.add(possibleCrash);
      options.onDidSuspect(possibleCrash.crashes);
      clock.after(CONFIRMATION_DELAY_MS, () => {
        if (unconfirmedCrashes.delete(possibleCrash)) {
          confirm([possibleCrash]);
          confirmUnmarkedEnds(lostRequest.endpoint);
        }
      });
    },
    recordUnanswered(lostRequest) {
      removeExpired();
      const possibleCrash = createPossibleCrash(lostRequest);
      if (deregistrationTimes.has(lostRequest.endpoint)) {
        confirm([possibleCrash]);
        return;
      }
      unansweredRequests = [...unansweredRequests, possibleCrash];
    },
    recordUnmarkedEnd(lostRequest) {
      removeExpired();
      unmarkedEnds = [...unmarkedEnds, createPossibleCrash(lostRequest)];
    },
    recordUnreachable(endpoint) {
      if (unmarkedEnds.length > 0) {
        removeExpired();
        confirmUnmarkedEnds(endpoint);
      }
    },
    recordDeregistered(endpoint) {
      removeExpired();
      deregistrationTimes.set(endpoint, clock.now());
      const [unanswered, others] = partitionByEndpoint(
        unansweredRequests,
        endpoint,
      );
      unansweredRequests = others;
      confirm(unanswered);
      confirmUnmarkedEnds(endpoint);
    },
    recordResponse(endpoint, sentAt) {
      deregistrationTimes.delete(endpoint);
      if (
        unconfirmedCrashes.size + unansweredRequests.length > 0 ||
        unmarkedEnds.length > 0
      ) {
        refuteLosses(
          ({lostRequest, lostAtMs}) =>
            lostRequest.endpoint === endpoint && lostAtMs < sentAt,
        );
      }
    },
    isUnconfirmed: ({request, endpoint}) =>
      [...unconfirmedCrashes].some(
        ({lostRequest, crashes}) =>
          lostRequest.endpoint === endpoint &&
          crashes.some(crash => crash.request === request),
      ),
    dump: () => ({
      unconfirmed: unconfirmedCrashes.size,
      silent: unansweredRequests.length,
      unmarked: unmarkedEnds.length,
      gone: deregistrationTimes.size,
    }),
  };
}

/** Returns the possible crashes of an endpoint, and the others. */
function partitionByEndpoint(
  possibleCrashes: readonly PossibleCrash[],
  endpoint: string,
): readonly [readonly PossibleCrash[], readonly PossibleCrash[]] {
  const isOf = ({lostRequest}: PossibleCrash) =>
    lostRequest.endpoint === endpoint;
  return [
    possibleCrashes.filter(isOf),
    possibleCrashes.filter(possibleCrash => !isOf(possibleCrash)),
  ];
}
