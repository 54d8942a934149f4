/** Prepares another endpoint to continue the stream of a leaving one. */
import {sleep, type Clock} from '@skylarkfield/base';
import type {EndpointPick} from './contracts.js';
import type {MigrationCosts} from './migrationCosts.js';

/** Endpoint of an attempt. */
export interface AttemptTarget {
  readonly pick: EndpointPick;
  /** Handle of the KV cache imported there; undefined when none was. */
  readonly importedCache: string | undefined;
}

/** Delay before another pick when no endpoint was available. */
const PICK_RETRY_DELAY_MS = 250;

/**
 * Picks an endpoint for the stream and transfers the KV cache to it when that
 * is cheaper than recomputing. The source keeps streaming meanwhile, so the
 * caller sees no pause. Rejects only when the signal aborts.
 *
 * @example
 * const target = await prepareMigration({clock, costs, source, ...options});
 */
export async function prepareMigration(options: {
  readonly clock: Clock;
  readonly costs: MigrationCosts;
  readonly source: EndpointPick;
  readonly attempt: string;
  /** Monotonic milliseconds by which the source endpoint is gone. */
  readonly goneAtMs: number;
  pickEndpoint(): EndpointPick;
  readonly signal: AbortSignal;
}): Promise<AttemptTarget> {
  const pick = await waitForPick(options);
  const importedCache = await transferCache(options, pick);
  return {pick, importedCache};
}

async function waitForPick(options: {
  readonly clock: Clock;
  pickEndpoint(): EndpointPick;
  readonly signal: AbortSignal;
}): Promise<EndpointPick> {
  for (;;) {
    try {
      return options.pickEndpoint();
    } catch {
      // The source still streams, so waiting for an endpoint costs nothing yet.
      await sleep(options.clock, PICK_RETRY_DELAY_MS, options.signal);
    }
  }
}

async function transferCache(
  options: Parameters<typeof prepareMigration>[0],
  pick: EndpointPick,
): Promise<string | undefined> {
  const {clock, costs, source, attempt, goneAtMs, signal} = options;
  try {
    const exported = await source.engine.exportCache(attempt, signal);
    const isTransferCheaper = costs.isTransferCheaper({
      bytes: exported.bytes,
      tokens: exported.tokens,
      cachedTokens: pick.cachedTokens ?? 0,
      remainingMs: goneAtMs - clock.now(),
    });
    if (!isTransferCheaper) {
      return undefined;
    }
    const startMs = clock.now();
    const from = {url: source.url, handle: exported.handle};
    const imported = await pick.engine.importCache(from, signal);
    costs.recordImport(imported.bytes, clock.now() - startMs);
    return imported.handle;
  } catch {
    // Without the cache the tokens are recomputed: slower, but still correct.
    return undefined;
  }
}
