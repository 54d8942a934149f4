/**
 * Prompts that an engine still has to read, in the order in which it reads them:
 * the most urgent first, those of the same urgency as they arrived.
 */
import type {Clock} from '@skylarkfield/base';

/** A prompt that is sent to an engine. */
export interface PendingPrompt {
  readonly urgency: number;
  /** Time that the engine is expected to take to read it, in milliseconds. */
  readonly promptMs: number;
}

export interface PromptBacklog {
  add(prompt: PendingPrompt): void;
  /**
   * Removes a prompt that was read or withdrawn. Returns the work that was
   * expected to be done before it, in milliseconds; undefined if it is not there.
   */
  remove(prompt: PendingPrompt): number | undefined;
  /** Returns the work that is done before a new prompt, in milliseconds. */
  waitMs(urgency: number): number;
  /** Returns all work, in milliseconds. */
  totalMs(): number;
}

/**
 * Fraction of a prompt's time that counts until its response begins: an estimate
 * may be several times too low, and the engine is not idle until then.
 */
const UNREAD_FRACTION = 0.25;

interface Item {
  readonly prompt: PendingPrompt;
  remainingMs: number;
  /** Work that was before this one when it came, or has overtaken it since. */
  aheadMs: number;
}

/**
 * Creates the backlog of an idle engine.
 *
 * @example
 * backlog.add({urgency: 1, promptMs: 116});
 * const waitMs = backlog.waitMs(0);
 */
export function createPromptBacklog(clock: Clock): PromptBacklog {
  const items: Item[] = [];
  let drainedAt = clock.now();

  /** Subtracts the work done since the last call. */
  function drain(): void {
    const now = clock.now();
    let doneMs = now - drainedAt;
    drainedAt = now;
    for (const item of items) {
      const floorMs = item.prompt.promptMs * UNREAD_FRACTION;
      const drainedMs = Math.min(doneMs, item.remainingMs - floorMs);
      item.remainingMs -= drainedMs;
      doneMs -= drainedMs;
    }
  }

  function sumUpTo(urgency: number): number {
    drain();
    let sumMs = 0;
    for (const {prompt, remainingMs} of items) {
      sumMs += prompt.urgency <= urgency ? remainingMs : 0;
    }
    return sumMs;
  }

  return {
    add(prompt) {
      drain();
      const {urgency, promptMs} = prompt;
      const overtaken = items.findIndex(item => item.prompt.urgency > urgency);
      const index = overtaken < 0 ? items.length : overtaken;
      for (const item of items.slice(index)) {
        item.aheadMs += promptMs;
      }
      const aheadMs = sumUpTo(urgency);
      items.splice(index, 0, {prompt, remainingMs: promptMs, aheadMs});
    },
    remove(prompt) {
      drain();
      const index = items.findIndex(item => item.prompt === prompt);
      return index < 0 ? undefined : items.splice(index, 1)[0]!.aheadMs;
    },
    waitMs: sumUpTo,
    totalMs: () => sumUpTo(Infinity),
  };
}
