/** Prepares another endpoint to continue the stream of a leaving endpoint. */
import {sleep, type Clock} from '@skylarkfield/base';
import type {EndpointPick} from './contracts.js';
import type {MigrationCosts} from './migrationCosts.js';

/** Endpoint that an attempt uses, with its imported KV cache. */
export interface AttemptTarget {
  readonly pick: EndpointPick;
  /** Handle of the KV cache imported at the endpoint; undefined if none. */
  readonly importedCache: string | undefined;
}

/** Delay before the next try to pick an endpoint, after none was available. */
const PICK_RETRY_DELAY_MS = 250;

/**
 * Picks an endpoint for the stream and transfers the KV cache to that endpoint
 * if it runs the same version and a transfer is cheaper than recomputing the
 * tokens. The source keeps streaming meanwhile, so the caller sees no pause.
 * Rejects only when the signal aborts.
 *
 * @example
 * const target = await prepareMigration({clock, costs, source, ...options});
 */
export async function prepareMigration(options: {
  readonly clock: Clock;
  readonly costs: MigrationCosts;
  readonly source: EndpointPick;
  readonly attemptId: string;
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
  const {clock, costs, source, attemptId, goneAtMs, signal} = options;
  if (pick.version !== source.version) {
    // Its KV cache does not fit, and the answer could begin in the meantime,
    // which must not go on at another version then.
    return undefined;
  }
  try {
    const exportedCache = await source.engine.exportCache(attemptId, signal);
    const isTransferCheaper = costs.isTransferCheaper({
      bytes: exportedCache.bytes,
      tokens: exportedCache.tokens,
      cachedTokens: pick.cachedTokens ?? 0,
      remainingMs: goneAtMs - clock.now(),
    });
    if (!isTransferCheaper) {
      return undefined;
    }
    const importStartedAtMs = clock.now();
    const cacheSource = {url: source.url, handle: exportedCache.handle};
    const importResult = await pick.engine.importCache(cacheSource, signal);
    costs.recordImport(importResult.bytes, clock.now() - importStartedAtMs);
    return importResult.handle;
  } catch {
    // Without the KV cache the target recomputes the tokens: slower, but
    // correct.
    return undefined;
  }
}
