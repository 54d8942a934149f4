/** Deterministic answer text for a prompt and a seed. */
import {hash32} from '@skylarkfield/base';

/** Range of answer lengths in tokens, before `maxTokens` is applied. */
const MIN_ANSWER_TOKENS = 8;
const MAX_ANSWER_TOKENS = 400;

/** Answer that a model samples for one prompt and seed. */
export interface Answer {
  /** Number of tokens after which the model ends the answer. */
  readonly length: number;
  /** Returns the text of the token at a zero-based position. */
  tokenAt(index: number): string;
}

/**
 * Creates the answer for a prompt. Each token depends only on prompt, seed and
 * position, so that another engine continues a resumed answer identically.
 *
 * @example
 * createAnswer('match this oak', 7).tokenAt(0);
 */
export function createAnswer(prompt: string, seed: number): Answer {
  const answerHash = hash32(prompt, seed);
  const lengthRange = MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS;
  return {
    length: MIN_ANSWER_TOKENS + (answerHash % lengthRange),
    tokenAt(index) {
      const word = hash32(String(index), answerHash).toString(36);
      return index === 0 ? word : ` ${word}`;
    },
  };
}

/**
 * Returns the first tokens of an answer, as the expected result in tests.
 *
 * @example
 * assert.equal(received.join(''), generateAnswerTokens(prompt, 7, 20).join(''));
 */
export function generateAnswerTokens(
  prompt: string,
  seed: number,
  maxTokens: number,
): string[] {
  const answer = createAnswer(prompt, seed);
  const length = Math.min(answer.length, maxTokens);
  return Array.from({length}, (_, index) => answer.tokenAt(index));
}
