/** Cache block hashes of a prompt with the delivered part of its response. */
import {extendBlockHashes, tokenizePrompt} from '@skylarkfield/endpoints';

/**
 * Extends a prompt's block hashes with the delivered tokens of a response that
 * resumes at another endpoint, so that the endpoint with the most cached blocks
 * is preferred and its cache is tracked. The prompt is tokenized again, since
 * migrations are rare and long prompts' tokens would stay in memory meanwhile.
 *
 * @example
 * const blocks = hashSequenceBlocks(request.prompt, plan.blocks, delivered);
 */
export function hashSequenceBlocks(
  prompt: string,
  blocks: readonly string[],
  delivered: readonly string[],
): readonly string[] {
  if (delivered.length === 0) {
    return blocks;
  }
  const generated = delivered.map(text => text.trim());
  return extendBlockHashes(blocks, [...tokenizePrompt(prompt), ...generated]);
}
