/**
 * Suspects of crashes: requests, known by their fingerprints, and parts of
 * prompts, which requests that differ otherwise may have in common.
 */
import {createHash} from 'node:crypto';

export type SuspectKind = 'request' | 'prompt-part';

/** Begins the key of a prompt part; fingerprints are hexadecimal. */
const PART_PREFIX = 'part ';

/** Length from which on a key is replaced by its hash, in characters. */
const MAX_KEY_LENGTH = 80;

/** Maximum number of parts of one prompt that are suspected. */
const MAX_PARTS = 64;

/**
 * Returns the keys of the parts of a prompt that other requests may have: all
 * but the last one, each once. A part is known per model, since it is the model's
 * engine that crashes.
 *
 * @example
 * promptPartSuspects('m', ['5c1e', '91bd', 'e440']);
 * // ['part m/5c1e', 'part m/91bd']
 */
export function promptPartSuspects(
  model: string,
  partIds: readonly string[],
): readonly string[] {
  const sharedIds = new Set(partIds.slice(0, -1));
  return [...sharedIds].slice(0, MAX_PARTS).map(id => partKey(model, id));
}

function partKey(model: string, id: string): string {
  const name = `${model}/${id}`;
  const boundedName =
    name.length <= MAX_KEY_LENGTH
      ? name
      : createHash('sha256').update(name).digest('hex');
  return `${PART_PREFIX}${boundedName}`;
}

/**
 * Returns whether a suspect is a request or a part of a prompt.
 *
 * @example
 * suspectKindOf('part m/5c1e'); // 'prompt-part'
 */
export function suspectKindOf(suspect: string): SuspectKind {
  return suspect.startsWith(PART_PREFIX) ? 'prompt-part' : 'request';
}
