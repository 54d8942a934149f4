/** How prompts are cut into tokens and cache blocks, alike in entries and engines. */
import {hash} from 'node:crypto';

/** Tokens in one block of an engine's prefix cache. */
export const BLOCK_TOKENS = 16;
/** Characters kept of a block's hash: 72 bits, so that two blocks never meet by chance. */
const BLOCK_HASH_CHARACTERS = 12;

/**
 * Cuts a prompt into tokens; a stand-in for a model's tokenizer that is exact
 * for our engines and near enough to weigh a prompt for others.
 *
 * @example
 * promptTokens('match this oak').length; // 3
 */
export function promptTokens(prompt: string): string[] {
  return prompt.match(/\S+/g) ?? [];
}

/**
 * Hashes of a prompt's full blocks. Each hash covers all tokens before it too,
 * so that equal hashes mean an equal prefix.
 *
 * @example
 * const blocks = promptBlocks(promptTokens(prompt));
 */
export function promptBlocks(tokens: readonly string[]): string[] {
  return extendBlocks([], tokens);
}

/**
 * Hashes of the full blocks of a longer text whose first blocks are known
 * already, so that a growing history is not hashed from its start each time.
 *
 * @example
 * const blocks = extendBlocks(promptBlocks(tokens), [...tokens, ...answer]);
 */
export function extendBlocks(
  known: readonly string[],
  tokens: readonly string[],
): string[] {
  const blocks = [...known];
  let chain = blocks.at(-1) ?? '';
  for (
    let start = known.length * BLOCK_TOKENS;
    start + BLOCK_TOKENS <= tokens.length;
    start += BLOCK_TOKENS
  ) {
    const text = tokens.slice(start, start + BLOCK_TOKENS).join(' ');
    chain = hash('sha256', `${chain} ${text}`, 'base64url').slice(
      0,
      BLOCK_HASH_CHARACTERS,
    );
    blocks.push(chain);
  }
  return blocks;
}
