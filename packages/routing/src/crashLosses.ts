/**
 * Tells crashes of endpoints from other ways in which requests are lost.
 *
 * A connection may end although its endpoint is well, and an endpoint may be
 * silent because it is slow. Whoever crashed answers nobody else, or is no longer
 * registered.
 */
import type {Clock} from '@skylarkfield/base';
import type {Crash} from './crashEvidence.js';

/** A request whose endpoint was lost, or seems so. */
export interface LostRequest {
  /** Fingerprint of the request. */
  readonly request: string;
  readonly endpoint: string;
}

export interface CrashLosses {
  /** The endpoint's connection ended while it may have been running the request. */
  noteClosed(lost: LostRequest): void;
  /** The endpoint did not answer; a crash once the endpoint is known to be gone. */
  noteSilent(lost: LostRequest): void;
  /** The endpoint is no longer registered, and had not announced it. */
  noteGone(endpoint: string): void;
  /** The endpoint answers a request that was sent at this monotonic millisecond. */
  noteHeard(endpoint: string, sentAt: number): void;
  /** Whether the crash may yet turn out to be none. */
  isUnconfirmed(crash: LostRequest): boolean;
  dump(): unknown;
}

/** An endpoint that answers a later request within this time has not crashed, in milliseconds. */
const CONFIRM_MS = 300;

/** How long a request without an answer is remembered while its endpoint may turn out to be gone, in milliseconds. */
const SILENT_MS = 15_000;

/** Most requests, and most endpoints, that are remembered so. */
const MOST_SILENT = 500;

interface Loss {
  readonly crash: Crash;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/**
 * Creates the losses of one entry.
 *
 * @example
 * losses.noteClosed({request: fingerprint, endpoint: 'i-1@7'});
 */
export function createCrashLosses(options: {
  readonly clock: Clock;
  /** Wall-clock milliseconds, alike at all entries. */
  wallMs(): number;
  /** A crash is likely; confirmed or refuted soon. */
  onDidSuspect(crash: Crash): void;
  onDidRefute(crash: Crash): void;
  onDidConfirm(crash: Crash): void;
}): CrashLosses {
  const {clock, wallMs} = options;
  const closed = new Set<Loss>();
  let silent: Loss[] = [];
  /** Monotonic milliseconds at which endpoints went without notice. */
  const gone = new Map<string, number>();

  function lossOf({request, endpoint}: LostRequest): Loss {
    const crash = {request, endpoint, atMs: Math.round(wallMs())};
    return {crash, at: clock.now()};
  }

  function forgetOld(): void {
    const from = clock.now() - SILENT_MS;
    silent = silent.filter(({at}) => at >= from).slice(-MOST_SILENT);
    for (const [endpoint, at] of gone) {
      if (at < from || gone.size > MOST_SILENT) {
        gone.delete(endpoint);
      }
    }
  }

  return {
    noteClosed(lost) {
      const loss = lossOf(lost);
      closed.add(loss);
      options.onDidSuspect(loss.crash);
      clock.after(CONFIRM_MS, () => {
        if (closed.delete(loss)) {
          options.onDidConfirm(loss.crash);
        }
      });
    },
    noteSilent(lost) {
      forgetOld();
      const loss = lossOf(lost);
      if (gone.has(lost.endpoint)) {
        options.onDidConfirm(loss.crash);
        return;
      }
      silent.push(loss);
    },
    noteGone(endpoint) {
      forgetOld();
      gone.set(endpoint, clock.now());
      const lost = silent.filter(({crash}) => crash.endpoint === endpoint);
      silent = silent.filter(({crash}) => crash.endpoint !== endpoint);
      lost.forEach(({crash}) => options.onDidConfirm(crash));
    },
    noteHeard(endpoint, sentAt) {
      gone.delete(endpoint);
      if (closed.size === 0 && silent.length === 0) {
        return;
      }
      const isRefuted = ({crash, at}: Loss) =>
        crash.endpoint === endpoint && at < sentAt;
      silent = silent.filter(loss => !isRefuted(loss));
      for (const loss of [...closed].filter(isRefuted)) {
        closed.delete(loss);
        options.onDidRefute(loss.crash);
      }
    },
    isUnconfirmed: ({request, endpoint}) =>
      [...closed].some(
        ({crash}) => crash.request === request && crash.endpoint === endpoint,
      ),
    dump: () => ({
      unconfirmed: closed.size,
      silent: silent.length,
      gone: gone.size,
    }),
  };
}
