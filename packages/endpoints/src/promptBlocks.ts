/** How prompts are cut into tokens and cache blocks, alike in entries and engines. */
import {hash32} from '@skylarkfield/base';

/** Tokens in one block of an engine's prefix cache. */
export const BLOCK_TOKENS = 16;

/**
 * Cuts a prompt into tokens; a stand-in for a model's tokenizer that is exact
 * for our engines and near enough to weigh a prompt for others.
 *
 * @example
 * promptTokens('match this oak').length; // 3
 */
export function promptTokens(prompt: string): string[] {
  return prompt.split(/\s+/).filter(token => token !== '');
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
    const low = hash32(`${chain} ${text}`);
    const high = hash32(`${chain} ${text}`, low);
    chain = `${low.toString(36)}${high.toString(36)}`;
    blocks.push(chain);
  }
  return blocks;
}
