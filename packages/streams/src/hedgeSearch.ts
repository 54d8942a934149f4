/** Search for an endpoint that can take over a stalled stream. */
import {sleep, type Clock} from '@skylarkfield/base';
import type {EndpointPick} from './contracts.js';
import {probeLiveness} from './probe.js';
import type {RequestProgress} from './progress.js';
import type {StallLimits} from './stallDetector.js';

export interface HedgeSearchOptions {
  readonly clock: Clock;
  readonly limits: StallLimits;
  readonly progress: RequestProgress;
  pickEndpoint(excludedEndpoints: ReadonlySet<string>): EndpointPick;
  /** Starts an attempt there; returns false if no retry is left. */
  tryStart(pick: EndpointPick): boolean;
  /**
   * Resolves to whether a stalled engine responds again within the timeout, so
   * that its stream is likely to go on.
   */
  hasWoken(timeoutMs: number): Promise<boolean>;
  /** Aborts when the stream goes on or ends. */
  readonly signal: AbortSignal;
}

/** Response time of a probe above which the engine may have been silent. */
const SLOW_PROBE_MS = 50;

/**
 * Starts an attempt at an endpoint whose engine responds to a probe, as soon as
 * there is one and a retry is left. Engines that are silent themselves are
 * passed over: sending a stream to them would cost its prompt and gain nothing.
 * Rejects when the signal aborts.
 *
 * @example
 * await startHedge({clock, limits, progress, pickEndpoint, tryStart, signal});
 */
export async function startHedge(options: HedgeSearchOptions): Promise<void> {
  const {clock, limits, progress, signal} = options;
  for (let round = 0; ; round++) {
    const pick = await pickResponding(options, round > 0);
    if (pick !== undefined) {
      if (!signal.aborted && options.tryStart(pick)) {
        return;
      }
      release(pick);
    }
    await sleep(clock, limits.minProbeDelayMs, signal);
    // All endpoints may be used again, including the stalled one: it may have
    // restarted without its connections being closed.
    progress.excludedEndpoints.clear();
  }
}

async function pickResponding(
  options: HedgeSearchOptions,
  isLaterRound: boolean,
): Promise<EndpointPick | undefined> {
  const {clock, limits, progress, signal} = options;
  const excluded = new Set(progress.excludedEndpoints);
  // Engines that were silent together tend to wake together.
  let mayHaveWoken = isLaterRound;
  for (;;) {
    const pick = tryPick(options, excluded);
    if (pick === undefined) {
      return undefined;
    }
    excluded.add(pick.endpoint);
    const startedAtMs = clock.now();
    const isResponding = await probeLiveness(
      clock,
      pick.engine,
      limits.probeTimeoutMs,
    );
    mayHaveWoken ||= !isResponding || clock.now() - startedAtMs > SLOW_PROBE_MS;
    if (
      isResponding &&
      !(mayHaveWoken && (await options.hasWoken(SLOW_PROBE_MS)))
    ) {
      return pick;
    }
    release(pick);
    signal.throwIfAborted();
  }
}

function tryPick(
  {pickEndpoint}: HedgeSearchOptions,
  excludedEndpoints: ReadonlySet<string>,
): EndpointPick | undefined {
  try {
    return pickEndpoint(excludedEndpoints);
  } catch {
    return undefined;
  }
}

function release(pick: EndpointPick): void {
  pick.finish({outcome: 'cancelled', latencyMs: 0});
}
