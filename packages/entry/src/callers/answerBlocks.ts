/** Cache blocks of a prompt together with what of its answer was delivered. */
import {extendBlockHashes, tokenizePrompt} from '@skylarkfield/endpoints';

/**
 * An answer that goes on elsewhere needs the blocks of its first part too, so
 * that the endpoint that has most of both is preferred and what it then holds
 * is known. The prompt is cut again rather than kept cut: moves are rare, and
 * a long prompt's tokens would be held as long as its answer runs.
 *
 * @example
 * const blocks = answerBlocks(request.prompt, plan.blocks, delivered);
 */
export function answerBlocks(
  prompt: string,
  blocks: readonly string[],
  delivered: readonly string[],
): readonly string[] {
  if (delivered.length === 0) {
    return blocks;
  }
  const answer = delivered.map(text => text.trim());
  return extendBlockHashes(blocks, [...tokenizePrompt(prompt), ...answer]);
}
