/** Claim outcomes that no committed write of their shard contains yet. */
import type {Clock} from '@skylarkfield/base';
import type {ClaimOutcome} from '@skylarkfield/protocol';

export interface PendingOutcomes {
  add(outcome: ClaimOutcome): void;
  /** Assigns all pending outcomes to the write that starts now. */
  beginWrite(): void;
  /** Drops the outcomes assigned to the write, which has been committed. */
  commitWrite(): void;
  /**
   * Makes the outcomes assigned to the write pending again, since the write
   * certainly had no effect.
   */
  rollBackWrite(): void;
  /** Removes and returns all uncommitted outcomes, oldest first. */
  drain(): readonly ClaimOutcome[];
  /**
   * Monotonic milliseconds since which the oldest pending outcome waits for a
   * write; undefined when no outcome waits.
   */
  waitingSince(): number | undefined;
}

/**
 * Creates a collection without outcomes.
 *
 * Outcomes are retained until their write is committed: if the shard is lost
 * during the write, they can be sent to its next owner, which would otherwise
 * report `may-have-run` for orders whose replies this process has received.
 *
 * @example
 * outcomes.beginWrite();
 * const result = await writer.write(record, version);
 * if (result.type === 'committed') { outcomes.commitWrite(); }
 */
export function createPendingOutcomes(clock: Clock): PendingOutcomes {
  let unwrittenOutcomes: ClaimOutcome[] = [];
  let outcomesInWrite: ClaimOutcome[] = [];
  let waitingSince: number | undefined;

  return {
    add(outcome) {
      unwrittenOutcomes.push(outcome);
      waitingSince ??= clock.now();
    },
    beginWrite() {
      waitingSince = undefined;
      outcomesInWrite = unwrittenOutcomes.splice(0);
    },
    commitWrite() {
      outcomesInWrite = [];
    },
    rollBackWrite() {
      unwrittenOutcomes = [...outcomesInWrite.splice(0), ...unwrittenOutcomes];
      waitingSince = unwrittenOutcomes.length > 0 ? clock.now() : undefined;
    },
    drain() {
      waitingSince = undefined;
      return [...outcomesInWrite.splice(0), ...unwrittenOutcomes.splice(0)];
    },
    waitingSince: () => waitingSince,
  };
}
