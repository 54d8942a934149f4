/**
 * Writes whose reply may be lost. The write may have taken effect then: sent
 * again as a new one it would fail on its own effect, and its caller would take
 * another for the winner. So the write id is looked for before anything else.
 */
import {isServingError, type Clock, type Random} from '@skylarkfield/base';
import type {ObjectWrite} from './objectTable.js';
import type {ObjectTransport} from './objectTransport.js';
import type {StoreCalls} from './storeCalls.js';
import {asRefusal, cancelled, conflict, unknownOutcome} from './storeErrors.js';
import {findWrite} from './unknownWrites.js';

/** First and longest time between two looks for a write, in milliseconds. */
const FIND_RETRY_MS = 50;
const LONGEST_FIND_RETRY_MS = 1000;

/** Writes until the outcome is known. */
export interface StoreWrites {
  /**
   * Sends a write until its outcome is known or the deadline passes; `landed`
   * makes the result of a write that was found to have taken effect.
   */
  write<T>(
    use: 'put' | 'remove',
    target: ObjectWrite,
    signal: AbortSignal | undefined,
    send: (signal: AbortSignal) => Promise<T>,
    landed: (found: {version: number}) => T,
  ): Promise<T>;
  counts(): {
    /** Writes whose reply was lost. */
    readonly lostReplies: number;
    /** Those among them that stayed unknown. */
    readonly unknownOutcomes: number;
  };
}

/**
 * Makes the writes of one client.
 *
 * @example
 * const writes = createStoreWrites({calls, transport, clock, ...rest});
 * await writes.write('remove', target, signal, send, () => undefined);
 */
export function createStoreWrites(options: {
  readonly calls: StoreCalls;
  readonly transport: ObjectTransport;
  readonly clock: Clock;
  readonly random: Random;
  /** Time for a write with all that is needed to learn its outcome, in milliseconds. */
  readonly writeDeadlineMs: number;
  /** The highest store version seen: history from here on covers any later write. */
  seenVersion(): number;
}): StoreWrites {
  const {calls, transport, clock, random, writeDeadlineMs} = options;
  let lostReplies = 0;
  let unknownOutcomes = 0;

  /** Sends a write until its outcome is known or the deadline passes. */
  async function write<T>(
    use: 'put' | 'remove',
    target: ObjectWrite,
    signal: AbortSignal | undefined,
    send: (signal: AbortSignal) => Promise<T>,
    landed: (found: {version: number}) => T,
  ): Promise<T> {
    const deadlineAt = clock.now() + writeDeadlineMs;
    const from =
      target.condition.type === 'version'
        ? target.condition.version
        : options.seenVersion();
    let wasSent = false;
    for (;;) {
      try {
        return await calls.call(use, deadlineAt, signal, send);
      } catch (error) {
        const mayHaveLanded = isServingError(error, 'outcome-unknown');
        if (!wasSent && !mayHaveLanded) {
          throw asRefusal(error);
        }
        lostReplies += wasSent ? 0 : 1;
        wasSent = true;
        const isCertain = isServingError(error, 'version-conflict');
        const finding = await find(target, from, deadlineAt, signal);
        if (finding.type === 'landed') {
          return landed(finding.change);
        }
        if (
          finding.type === 'overtaken' ||
          (isCertain && finding.type === 'open')
        ) {
          throw conflict(target);
        }
        if (finding.type === 'unknown') {
          unknownOutcomes += 1;
          throw unknownOutcome(target, error);
        }
      }
    }
  }

  /** Looks for a write's effect, again and again until the deadline. */
  async function find(
    target: ObjectWrite,
    from: number,
    deadlineAt: number,
    signal: AbortSignal | undefined,
  ): Promise<Awaited<ReturnType<typeof findWrite>>> {
    let delayMs = FIND_RETRY_MS;
    for (;;) {
      try {
        return await calls.call('find', deadlineAt, signal, inner =>
          findWrite(transport, target, from, inner),
        );
      } catch (error) {
        if (isServingError(error, 'cancelled')) {
          throw cancelled(true);
        }
        const pauseMs = delayMs * (0.5 + random.next());
        if (clock.now() + pauseMs >= deadlineAt) {
          return {type: 'unknown'};
        }
        await pause(pauseMs);
        delayMs = Math.min(LONGEST_FIND_RETRY_MS, delayMs * 2);
      }
    }
  }

  function pause(spanMs: number): Promise<void> {
    return new Promise(resolve => clock.after(spanMs, resolve));
  }

  return {
    write,
    counts: () => ({lostReplies, unknownOutcomes}),
  };
}
