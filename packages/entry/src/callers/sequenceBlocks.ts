/** Cache block hashes of a prompt and the delivered part of its response. */
import {extendBlockHashes, tokenizePrompt} from '@skylarkfield/endpoints';

/**
 * Extends a prompt's block hashes with the delivered tokens of a response that
 * resumes at another endpoint, so that the router prefers the endpoint with the
 * most cached blocks and tracks the cache of that endpoint. The prompt is
 * tokenized again, since migrations are rare and the tokens of long prompts
 * would otherwise stay in memory until every response is complete.
 *
 * @example
 * const blocks = hashSequenceBlocks(request.prompt, plan.blocks, delivered);
 */
export function hashSequenceBlocks(
  prompt: string,
  promptBlocks: readonly string[],
  deliveredTokens: readonly string[],
): readonly string[] {
  if (deliveredTokens.length === 0) {
    return promptBlocks;
  }
  const trimmedTokens = deliveredTokens.map(text => text.trim());
  return extendBlockHashes(promptBlocks, [
    ...tokenizePrompt(prompt),
    ...trimmedTokens,
  ]);
}
