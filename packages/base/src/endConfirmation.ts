/**
 * Confirms the ends of responses that only the close of their connection marks.
 *
 * The kernel of a process that is killed closes its connections in order, so such
 * an end may be that of the process. It counts once the process has answered a
 * question that was sent after it.
 */
import {sleep, type Clock} from './clock.js';

/**
 * What a question has shown. `refused`: no process listens at the address.
 * `unanswered`: the connection failed in another way, or the timeout passed.
 */
export type QuestionResult = 'answered' | 'refused' | 'unanswered';

/** Time between an unanswered question and the next one, in milliseconds. */
const QUESTION_INTERVAL_MS = 50;

/**
 * Resolves to true once a question is answered, and to false if no process listens
 * or the signal is aborted. A silent process, which may only be paused, is asked
 * again until then. Rejects only if `ask` does.
 *
 * @example
 * const isComplete = await confirmEnd(() => probe(address), clock, signal);
 */
export async function confirmEnd(
  ask: () => Promise<QuestionResult>,
  clock: Clock,
  signal: AbortSignal,
): Promise<boolean> {
  while (!signal.aborted) {
    const result = await ask();
    if (result !== 'unanswered') {
      return result === 'answered';
    }
    await sleep(clock, QUESTION_INTERVAL_MS);
  }
  return false;
}
