/** Prepares another endpoint to go on with the stream of a leaving one. */
import {sleep, type Clock} from '@skylarkfield/base';
import type {StreamPlace} from './contracts.js';
import type {MoveCosts} from './moveCosts.js';

/** Where a stream goes on. */
export interface PreparedPlace {
  readonly place: StreamPlace;
  /** Handle of the KV cache that was imported there, if it was. */
  readonly importedCache: string | undefined;
}

/** Wait before asking again for another endpoint when there was none. */
const PLACE_RETRY_MS = 250;

/**
 * Takes a place for the stream and, when it is cheaper than computing again,
 * brings the KV cache there. The old attempt goes on streaming meanwhile, so
 * the caller sees no pause from it. Rejects only when the signal aborts.
 *
 * @example
 * const prepared = await prepareMove({clock, costs, old, attempt, takePlace, signal});
 */
export async function prepareMove(options: {
  readonly clock: Clock;
  readonly costs: MoveCosts;
  readonly old: StreamPlace;
  readonly attempt: string;
  /** Monotonic milliseconds by which the old endpoint is gone. */
  readonly goneAtMs: number;
  takePlace(): StreamPlace;
  readonly signal: AbortSignal;
}): Promise<PreparedPlace> {
  const place = await waitForPlace(options);
  const importedCache = await bringCache(options, place);
  return {place, importedCache};
}

async function waitForPlace(options: {
  readonly clock: Clock;
  takePlace(): StreamPlace;
  readonly signal: AbortSignal;
}): Promise<StreamPlace> {
  for (;;) {
    try {
      return options.takePlace();
    } catch {
      // The old endpoint still streams: waiting for another costs nothing yet.
      await sleep(options.clock, PLACE_RETRY_MS, options.signal);
    }
  }
}

async function bringCache(
  options: Parameters<typeof prepareMove>[0],
  place: StreamPlace,
): Promise<string | undefined> {
  const {clock, costs, old, attempt, goneAtMs, signal} = options;
  try {
    const exported = await old.engine.exportCache(attempt, signal);
    const isCheaper = costs.isHandOverCheaper({
      bytes: exported.bytes,
      tokens: exported.tokens,
      cachedTokens: place.cachedTokens ?? 0,
      remainingMs: goneAtMs - clock.now(),
    });
    if (!isCheaper) {
      return undefined;
    }
    const startMs = clock.now();
    const from = {url: old.url, handle: exported.handle};
    const imported = await place.engine.importCache(from, signal);
    costs.observeImport(imported.bytes, clock.now() - startMs);
    return imported.handle;
  } catch {
    // Without the cache the tokens are computed again: slower, never wrong.
    return undefined;
  }
}
