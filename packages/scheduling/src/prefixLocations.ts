/**
 * Endpoints that have recently read the shared parts of prompts.
 *
 * A part counts as cached until the endpoint has read a fixed number of further
 * tokens, since endpoints evict the parts that were used least recently.
 */
import type {Prompt} from './contracts.js';

export interface PrefixLocations {
  /** Returns the tokens of the prompt's start that the endpoint has cached. */
  cachedTokens(endpoint: string, prompt: Prompt): number;
  /** Records that a prompt was sent to an endpoint. */
  record(endpoint: string, prompt: Prompt): void;
  removeEndpoint(endpoint: string): void;
}

/** Parts read by one endpoint. */
interface ReadParts {
  /** Number of tokens that the endpoint has read. */
  tokens: number;
  /** Value of `tokens` when a part was last read, by id, oldest first. */
  readonly readAt: Map<string, number>;
}

/** Maximum number of parts to know of an endpoint. */
const MAX_PARTS = 4_000;

/**
 * Creates locations of no prompt. `cacheTokens` is the number of tokens that an
 * endpoint keeps cached.
 *
 * @example
 * const locations = createPrefixLocations(300_000);
 * const cached = locations.cachedTokens('i-1@7', prompt);
 */
export function createPrefixLocations(cacheTokens: number): PrefixLocations {
  const partsByEndpoint = new Map<string, ReadParts>();

  function partsOf(endpoint: string): ReadParts {
    const parts = partsByEndpoint.get(endpoint) ?? {
      tokens: 0,
      readAt: new Map<string, number>(),
    };
    partsByEndpoint.set(endpoint, parts);
    return parts;
  }

  return {
    cachedTokens(endpoint, {sharedParts}) {
      const parts = partsByEndpoint.get(endpoint);
      let cachedTokens = 0;
      for (const {id, tokens} of sharedParts) {
        const readAt = parts?.readAt.get(id);
        if (readAt === undefined || parts!.tokens - readAt > cacheTokens) {
          break;
        }
        cachedTokens += tokens;
      }
      return cachedTokens;
    },
    record(endpoint, {sharedParts, promptTokens}) {
      const parts = partsOf(endpoint);
      parts.tokens += promptTokens;
      for (const {id} of sharedParts) {
        parts.readAt.delete(id);
        parts.readAt.set(id, parts.tokens);
      }
      for (const id of parts.readAt.keys()) {
        if (parts.readAt.size <= MAX_PARTS) {
          break;
        }
        parts.readAt.delete(id);
      }
    },
    removeEndpoint: endpoint => void partsByEndpoint.delete(endpoint),
  };
}
