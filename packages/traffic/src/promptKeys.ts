/** Derives prefix cache keys from the declared parts of a prompt. */
import type {ModelDemand, PromptPart} from './contracts.js';

/**
 * Tokens per key. Fewer tokens per key track caches more exactly, but every key
 * of a request costs a map entry.
 */
export const TOKENS_PER_KEY = 64;

/**
 * Returns the keys of the shared parts in order; a prefix of the prompt is a
 * prefix of the keys. The last part is not shared with other requests, so keys
 * for that part would only evict keys that are reused.
 *
 * @example
 * const keys = promptKeys([{id: '5c1e', tokens: 512}, {id: '91bd', tokens: 70}]);
 */
export function promptKeys(parts: ModelDemand['parts']): string[] {
  return parts.slice(0, -1).flatMap(partKeys);
}

function partKeys(part: PromptPart): string[] {
  const count = Math.max(1, Math.round(part.tokens / TOKENS_PER_KEY));
  return Array.from({length: count}, (_, index) => `${part.id}.${index}`);
}
