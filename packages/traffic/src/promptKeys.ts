/** Turns the declared parts of a prompt into the keys by which caches are followed. */
import type {ModelDemand, PromptPart} from './contracts.js';

/**
 * Tokens that one key stands for. Smaller ones follow caches more exactly and
 * cost a map entry each for every request.
 */
export const KEY_TOKENS = 64;

/**
 * Keys of the parts that other requests may share, in order; a prefix of the
 * prompt is a prefix of the keys. The last part belongs to its request alone,
 * and keys for it would only push out those that are asked for again.
 *
 * @example
 * const keys = promptKeys([{id: '5c1e', tokens: 512}, {id: '91bd', tokens: 70}]);
 */
export function promptKeys(parts: ModelDemand['parts']): string[] {
  return parts.slice(0, -1).flatMap(keysOf);
}

function keysOf(part: PromptPart): string[] {
  const count = Math.max(1, Math.round(part.tokens / KEY_TOKENS));
  return Array.from({length: count}, (_, index) => `${part.id}.${index}`);
}
