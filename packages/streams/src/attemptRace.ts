/** Attempts of one request, of which the first to send the next event wins. */
import type {Clock} from '@skylarkfield/base';
import {
  runAttempt,
  type AttemptEnd,
  type AttemptFailure,
  type StalledAttempt,
} from './attempt.js';
import type {EndpointPick, StreamToken} from './contracts.js';
import {startHedge} from './hedgeSearch.js';
import type {AttemptTarget} from './migration.js';
import type {MigrationCosts} from './migrationCosts.js';
import type {RequestProgress} from './progress.js';
import {probeLiveness} from './probe.js';
import {excludeEndpoint, isRetryable, isWastedWork} from './retryRules.js';
import type {StallLimits} from './stallDetector.js';

/** How a race ended: with the answer's end, or with the last attempt lost. */
export type RaceEnd =
  | (AttemptEnd & {readonly type: 'ended'})
  | {
      readonly type: 'lost';
      readonly pick: EndpointPick;
      readonly failure: AttemptFailure;
    };

export interface AttemptRaceOptions {
  readonly clock: Clock;
  readonly limits: StallLimits;
  readonly costs: MigrationCosts;
  readonly progress: RequestProgress;
  readonly attemptIdPrefix: string;
  readonly maxAttempts: number;
  readonly target: AttemptTarget;
  pickEndpoint(excludedEndpoints: ReadonlySet<string>): EndpointPick;
  mayRetry(): boolean;
  deliver(token: StreamToken): void | Promise<void>;
  /** Called when an attempt is lost, migrated or started as a hedge. */
  onCount(event: 'lost' | 'moved' | 'hedged'): void;
  readonly signal: AbortSignal;
}

interface OpenAttempt {
  readonly pick: EndpointPick;
  readonly supersedeController: AbortController;
  /** Set while the engine is stalled. */
  stall: Stall | undefined;
}

interface Stall {
  readonly failure: AttemptFailure;
  readonly stalledAttempt: StalledAttempt;
}

/**
 * Runs an attempt until the answer ends or no attempt is left. While all open
 * attempts are stalled, a further one is started where an engine responds; the
 * first attempt to send the next event goes on and all others are cancelled.
 * Rejects only when the whole request has to end.
 *
 * @example
 * const end = await raceAttempts({clock, limits, target, ...options});
 */
export function raceAttempts(options: AttemptRaceOptions): Promise<RaceEnd> {
  const {clock, limits, progress} = options;
  const openAttempts = new Set<OpenAttempt>();
  let hedgeController: AbortController | undefined;

  return new Promise((resolve, reject) => {
    start(options.target);

    function start(target: AttemptTarget) {
      const attempt: OpenAttempt = {
        pick: target.pick,
        supersedeController: new AbortController(),
        stall: undefined,
      };
      openAttempts.add(attempt);
      runAttempt({
        ...options,
        target,
        pickEndpoint: () =>
          options.pickEndpoint(
            new Set([
              ...progress.excludedEndpoints,
              ...[...openAttempts].map(({pick}) => pick.endpoint),
            ]),
          ),
        claim: () => claim(attempt),
        onStall(failure, stalledAttempt) {
          attempt.stall = {failure, stalledAttempt};
          if (openAttempts.has(attempt)) {
            hedge(attempt.pick, failure);
          }
        },
        supersededSignal: attempt.supersedeController.signal,
      }).then(
        end => handleEnd(attempt, end),
        error => {
          openAttempts.delete(attempt);
          supersedeOthers(attempt);
          reject(error);
        },
      );
    }

    function handleEnd(attempt: OpenAttempt, end: AttemptEnd) {
      const wasOpen = openAttempts.delete(attempt);
      if (end.type === 'lost') {
        options.onCount('lost');
      }
      if (wasOpen) {
        handleOpenEnd(attempt, end);
      } else if (end.type === 'moved') {
        end.target.pick.finish({outcome: 'cancelled', latencyMs: 0});
      }
    }

    function handleOpenEnd({pick}: OpenAttempt, end: AttemptEnd) {
      if (end.type === 'ended') {
        resolve(end);
      }
      if (end.type === 'moved') {
        options.onCount('moved');
        start(end.target);
      }
      if (end.type !== 'lost') {
        return;
      }
      if (openAttempts.size > 0) {
        hedge(pick, end);
        return;
      }
      stopHedging();
      resolve({type: 'lost', pick, failure: end});
    }

    /** Starts another attempt, unless an open one is not stalled. */
    function hedge(pick: EndpointPick, failure: AttemptFailure) {
      if (
        [...openAttempts].every(({stall}) => stall !== undefined) &&
        hedgeController === undefined &&
        isRetryable(failure, progress, options.maxAttempts)
      ) {
        hedgeController = new AbortController();
        // Rejects only when the search is stopped.
        findHedge(pick, failure, hedgeController.signal).catch(() => {});
      }
    }

    async function findHedge(
      pick: EndpointPick,
      failure: AttemptFailure,
      hedgeSignal: AbortSignal,
    ) {
      const {probeTimeoutMs} = limits;
      await excludeEndpoint({clock, probeTimeoutMs, progress, pick, failure});
      hedgeSignal.throwIfAborted();
      await startHedge({
        clock,
        limits,
        progress,
        pickEndpoint: options.pickEndpoint,
        hasWoken,
        tryStart: hedgePick => tryStart(hedgePick, failure),
        signal: hedgeSignal,
      });
    }

    function tryStart(pick: EndpointPick, failure: AttemptFailure): boolean {
      openAttempts.forEach(({stall}) => stall?.stalledAttempt.finishPick());
      if (isWastedWork(failure) && !options.mayRetry()) {
        return false;
      }
      hedgeController = undefined;
      options.onCount('hedged');
      start({pick, importedCache: undefined});
      return true;
    }
  });

  function stopHedging() {
    hedgeController?.abort();
    hedgeController = undefined;
  }

  function claim(attempt: OpenAttempt) {
    endStall(attempt);
    supersedeOthers(attempt);
  }

  function endStall(attempt: OpenAttempt) {
    if (attempt.stall !== undefined) {
      attempt.stall = undefined;
      progress.excludedEndpoints.delete(attempt.pick.endpoint);
    }
  }

  /** Waits for tokens again from engines that did not respond, but do now. */
  async function hasWoken(timeoutMs: number): Promise<boolean> {
    const results = await Promise.all(
      [...openAttempts].map(attempt => rearmIfWoken(attempt, timeoutMs)),
    );
    return results.some(isWoken => isWoken);
  }

  async function rearmIfWoken(
    attempt: OpenAttempt,
    timeoutMs: number,
  ): Promise<boolean> {
    const {pick, stall} = attempt;
    if (stall?.failure.isResponding !== false) {
      return false;
    }
    const isResponding = await probeLiveness(clock, pick.engine, timeoutMs);
    if (
      !isResponding ||
      attempt.stall !== stall ||
      !openAttempts.has(attempt)
    ) {
      return false;
    }
    endStall(attempt);
    stall.stalledAttempt.rearm();
    stopHedging();
    return true;
  }

  function supersedeOthers(winner: OpenAttempt) {
    stopHedging();
    for (const attempt of openAttempts) {
      if (attempt !== winner) {
        openAttempts.delete(attempt);
        attempt.supersedeController.abort();
      }
    }
  }
}
