/** Claim outcomes that no committed write of their shard contains yet. */
import type {Clock} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';

export interface PendingOutcomes {
  add(outcome: ClaimOutcome): void;
  /** Assigns all pending outcomes to the write that starts now. */
  beginWrite(): void;
  /** The write has been committed. */
  commitWrite(): void;
  /** The write certainly had no effect: its outcomes become pending again. */
  rollBackWrite(): void;
  /** Removes and returns all uncommitted outcomes, oldest first. */
  drain(): readonly ClaimOutcome[];
  /** Monotonic milliseconds since which outcomes wait, if there are any. */
  waitingSince(): number | undefined;
}

/**
 * Creates an empty collection.
 *
 * Outcomes are retained until their write is committed: a shard can be lost
 * during the write, and its next owner would report that the orders may have
 * run though their replies are known here.
 *
 * @example
 * outcomes.beginWrite();
 * const result = await writer.write(record, version);
 * if (result.type === 'committed') { outcomes.commitWrite(); }
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
