/**
 * Writes that survive lost replies. A write whose reply was lost may have taken
 * effect; a plain retry would then conflict with its own effect, and the caller
 * would assume that another writer won. So the write is first looked up by its
 * id.
 */
import {isServingError, type Clock, type Random} from '@skylarkfield/base';
import type {ObjectWrite} from './objectTable.js';
import type {ObjectTransport} from './objectTransport.js';
import type {StoreCalls} from './storeCalls.js';
import {
  cancelledError,
  conflictError,
  toCallerError,
  unknownOutcomeError,
} from './storeErrors.js';
import {findWriteOutcome} from './writeOutcome.js';

/** Initial and maximum delay between lookups of a write's outcome. */
const INITIAL_FIND_BACKOFF_MS = 50;
const MAX_FIND_BACKOFF_MS = 1000;

/** Makes the writes of one client and determines their outcome. */
export interface StoreWrites {
  /**
   * Sends a write until its outcome is known or the deadline passes. `toResult`
   * builds the result of a write that a lookup found to have taken effect.
   * Throws `version-conflict` if the write can no longer take effect, and
   * `outcome-unknown` if its outcome could not be determined.
   */
  execute<T>(
    callType: 'put' | 'remove',
    write: ObjectWrite,
    signal: AbortSignal | undefined,
    send: (signal: AbortSignal) => Promise<T>,
    toResult: (written: {version: number}) => T,
  ): Promise<T>;
  counts(): {
    /** Number of writes whose reply was lost. */
    readonly lostReplies: number;
    /** Number of writes whose outcome could not be determined. */
    readonly unknownOutcomes: number;
  };
}

/**
 * Creates the write layer of one client.
 *
 * @example
 * const writes = createStoreWrites({calls, transport, clock, ...options});
 * await writes.execute('remove', write, signal, send, () => undefined);
 */
export function createStoreWrites(options: {
  readonly calls: StoreCalls;
  readonly transport: ObjectTransport;
  readonly clock: Clock;
  readonly random: Random;
  /** Timeout of a write including lookups of its outcome, in milliseconds. */
  readonly writeDeadlineMs: number;
  /** Highest store version received; every later write has a higher version. */
  seenVersion(): number;
}): StoreWrites {
  const {calls, transport, clock, random, writeDeadlineMs} = options;
  let lostReplies = 0;
  let unknownOutcomes = 0;

  async function execute<T>(
    callType: 'put' | 'remove',
    write: ObjectWrite,
    signal: AbortSignal | undefined,
    send: (signal: AbortSignal) => Promise<T>,
    toResult: (written: {version: number}) => T,
  ): Promise<T> {
    const deadlineAt = clock.now() + writeDeadlineMs;
    const fromVersion =
      write.condition.type === 'version'
        ? write.condition.version
        : options.seenVersion();
    let hasLostReply = false;
    for (;;) {
      try {
        return await calls.call(callType, deadlineAt, signal, send);
      } catch (error) {
        const isOutcomeUnknown = isServingError(error, 'outcome-unknown');
        if (!hasLostReply && !isOutcomeUnknown) {
          throw toCallerError(error);
        }
        lostReplies += hasLostReply ? 0 : 1;
        hasLostReply = true;
        const wasRejected = isServingError(error, 'version-conflict');
        const outcome = await findOutcome(
          write,
          fromVersion,
          deadlineAt,
          signal,
        );
        if (outcome.type === 'applied') {
          return toResult(outcome.change);
        }
        if (
          outcome.type === 'superseded' ||
          (wasRejected && outcome.type === 'pending')
        ) {
          throw conflictError(write);
        }
        if (outcome.type === 'unknown') {
          unknownOutcomes += 1;
          throw unknownOutcomeError(write, error);
        }
      }
    }
  }

  /** Looks up the outcome of a write, with retries until the deadline. */
  async function findOutcome(
    write: ObjectWrite,
    fromVersion: number,
    deadlineAt: number,
    signal: AbortSignal | undefined,
  ): Promise<Awaited<ReturnType<typeof findWriteOutcome>>> {
    let delayMs = INITIAL_FIND_BACKOFF_MS;
    for (;;) {
      try {
        return await calls.call('find', deadlineAt, signal, callSignal =>
          findWriteOutcome(transport, write, fromVersion, callSignal),
        );
      } catch (error) {
        if (isServingError(error, 'cancelled')) {
          throw cancelledError(true);
        }
        const jitteredMs = delayMs * (0.5 + random.next());
        if (clock.now() + jitteredMs >= deadlineAt) {
          return {type: 'unknown'};
        }
        await sleep(jitteredMs);
        delayMs = Math.min(MAX_FIND_BACKOFF_MS, delayMs * 2);
      }
    }
  }

  function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => clock.after(durationMs, resolve));
  }

  return {
    execute,
    counts: () => ({lostReplies, unknownOutcomes}),
  };
}
