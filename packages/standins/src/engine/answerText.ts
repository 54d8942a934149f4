/** The text that every engine stand-in answers for a prompt and a seed. */
import {hash32} from '@skylarkfield/base';

/** Answers end by themselves between these lengths, in tokens. */
const SHORTEST_ANSWER = 8;
const LONGEST_ANSWER = 400;

/** The answer that a model would sample for one prompt and seed. */
export interface Answer {
  /** Tokens until the answer ends by itself. */
  readonly length: number;
  /** Text of the token at a position from 0. */
  tokenAt(index: number): string;
}

/**
 * Makes the answer for a prompt. Each token depends on prompt, seed and
 * position alone, so that an answer resumed elsewhere goes on exactly alike.
 *
 * @example
 * answerFor('match this oak', 7).tokenAt(0);
 */
export function answerFor(prompt: string, seed: number): Answer {
  const key = hash32(prompt, seed);
  const spread = LONGEST_ANSWER - SHORTEST_ANSWER;
  return {
    length: SHORTEST_ANSWER + (key % spread),
    tokenAt(index) {
      const word = hash32(String(index), key).toString(36);
      return index === 0 ? word : ` ${word}`;
    },
  };
}

/**
 * The first tokens of an answer, for tests that compare with what a caller saw.
 *
 * @example
 * assert.equal(seen.join(''), answerTokens(prompt, 7, 20).join(''));
 */
export function answerTokens(
  prompt: string,
  seed: number,
  maxTokens: number,
): string[] {
  const answer = answerFor(prompt, seed);
  const length = Math.min(answer.length, maxTokens);
  return Array.from({length}, (_, index) => answer.tokenAt(index));
}
