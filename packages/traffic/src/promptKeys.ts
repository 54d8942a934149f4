/** Derives prefix cache keys from the declared parts of a prompt. */
import type {ModelDemand, PromptPart} from './contracts.js';

/**
 * Prompt tokens per key. With fewer tokens per key the cache content is known
 * more exactly, but every key of a request costs a map entry.
 */
export const TOKENS_PER_KEY = 64;

/**
 * Maximum number of shared tokens of a prompt with keys: more than the KV cache of
 * an engine holds, so that a larger prompt is rejected and none of it is cached.
 */
const MAX_KEYED_TOKENS = 512 * 1024;

/**
 * Returns the keys of the shared parts, from the start of the prompt: prompts
 * that share a prefix share a prefix of keys. Other requests do not have the
 * last part, so its keys would only evict keys that are reused. A prompt has no
 * keys if its parts are declared larger than any prompt that engines accept: the
 * declared sizes are untrusted.
 *
 * @example
 * const keys = promptKeys([{id: '5c1e', tokens: 512}, {id: '91bd', tokens: 70}]);
 */
export function promptKeys(parts: ModelDemand['parts']): string[] {
  const sharedParts = parts.slice(0, -1);
  const sharedTokens = sharedParts.reduce((sum, {tokens}) => sum + tokens, 0);
  return sharedTokens <= MAX_KEYED_TOKENS ? sharedParts.flatMap(partKeys) : [];
}

function partKeys(part: PromptPart): string[] {
  const keyCount = Math.max(1, Math.round(part.tokens / TOKENS_PER_KEY));
  return Array.from({length: keyCount}, (_, index) => `${part.id}.${index}`);
}
