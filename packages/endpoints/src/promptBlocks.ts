/** Prompt tokens and block hashes, which entries and engines must agree on. */
import {hash} from 'node:crypto';

/** Number of tokens in one block of an engine's prefix cache. */
export const TOKENS_PER_BLOCK = 16;
/** Characters of a block hash: 72 bits make collisions negligible. */
const BLOCK_HASH_LENGTH = 12;

/**
 * Splits a prompt into tokens. Substitutes for a model's tokenizer: exact for
 * this project's engines, accurate enough to estimate prompt sizes for other
 * engines.
 *
 * @example
 * tokenizePrompt('match this oak').length; // 3
 */
export function tokenizePrompt(prompt: string): string[] {
  return prompt.match(/\S+/g) ?? [];
}

/**
 * Returns the hashes of a prompt's full blocks. Each hash also covers all
 * preceding tokens, so that equal hashes imply an equal prefix.
 *
 * @example
 * const blocks = hashPromptBlocks(tokenizePrompt(prompt));
 */
export function hashPromptBlocks(tokens: readonly string[]): string[] {
  return extendBlockHashes([], tokens);
}

/**
 * Returns the hashes of a text's full blocks, given the hashes of its first
 * blocks, so that a growing text is not hashed from the start each time.
 *
 * @example
 * const blocks = extendBlockHashes(hashPromptBlocks(tokens), [...tokens, ...answer]);
 */
export function extendBlockHashes(
  prefixHashes: readonly string[],
  tokens: readonly string[],
): string[] {
  const hashes = [...prefixHashes];
  let previousHash = hashes.at(-1) ?? '';
  for (
    let start = prefixHashes.length * TOKENS_PER_BLOCK;
    start + TOKENS_PER_BLOCK <= tokens.length;
    start += TOKENS_PER_BLOCK
  ) {
    const text = tokens.slice(start, start + TOKENS_PER_BLOCK).join(' ');
    previousHash = hash('sha256', `${previousHash} ${text}`, 'base64url').slice(
      0,
      BLOCK_HASH_LENGTH,
    );
    hashes.push(previousHash);
  }
  return hashes;
}
