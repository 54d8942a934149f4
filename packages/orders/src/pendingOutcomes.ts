/** Outcomes of orders that no landed write of their shard carries yet. */
import type {Clock} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';

export interface PendingOutcomes {
  add(outcome: ClaimOutcome): void;
  /** All that wait go into the write that starts now. */
  beginWrite(): void;
  /** That write has landed. */
  commitWrite(): void;
  /** That write was certainly not made: its outcomes wait again. */
  rollBackWrite(): void;
  /** Empties it; returns what was not written, oldest first. */
  drain(): readonly ClaimOutcome[];
  /** Monotonic milliseconds since when something waits for a write; undefined when nothing does. */
  waitingSince(): number | undefined;
}

/**
 * Makes an empty set.
 *
 * Outcomes are kept until their write has landed: a shard can be lost during
 * the write, and its next owner would tell callers that their orders may have
 * run though the reply is known here.
 *
 * @example
 * outcomes.begin();
 * if ((await writer.write(record, version)).type === 'landed') { outcomes.land(); }
 */
export function createPendingOutcomes(clock: Clock): PendingOutcomes {
  let unwritten: ClaimOutcome[] = [];
  let beingWritten: ClaimOutcome[] = [];
  let waitingSince: number | undefined;

  return {
    add(outcome) {
      unwritten.push(outcome);
      waitingSince ??= clock.now();
    },
    beginWrite() {
      waitingSince = undefined;
      beingWritten = unwritten.splice(0);
    },
    commitWrite() {
      beingWritten = [];
    },
    rollBackWrite() {
      unwritten = [...beingWritten.splice(0), ...unwritten];
      waitingSince = unwritten.length > 0 ? clock.now() : undefined;
    },
    drain() {
      waitingSince = undefined;
      return [...beingWritten.splice(0), ...unwritten.splice(0)];
    },
    waitingSince: () => waitingSince,
  };
}
