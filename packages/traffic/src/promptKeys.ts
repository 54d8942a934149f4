/** Derives prefix cache keys from the declared parts of a prompt. */
import type {ModelDemand, PromptPart} from './contracts.js';

/**
 * Prompt tokens per key. With fewer tokens per key the cache content is known
 * more exactly, but every key of a request costs a map entry.
 */
export const TOKENS_PER_KEY = 64;

/**
 * Returns the keys of the shared parts, from the start of the prompt: prompts
 * that share a prefix share a prefix of keys. Other requests do not have the
 * last part, so its keys would only evict keys that are reused.
 *
 * @example
 * const keys = promptKeys([{id: '5c1e', tokens: 512}, {id: '91bd', tokens: 70}]);
 */
export function promptKeys(parts: ModelDemand['parts']): string[] {
  return parts.slice(0, -1).flatMap(partKeys);
}

function partKeys(part: PromptPart): string[] {
  const keyCount = Math.max(1, Math.round(part.tokens / TOKENS_PER_KEY));
  return Array.from({length: keyCount}, (_, index) => `${part.id}.${index}`);
}
