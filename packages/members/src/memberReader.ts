/** Reads the objects of members; ignores those of other writers. */
import {createFirstOccurrences, type Logger} from '@skylarkfield/base';
import type {
  Freshness,
  ObjectStore,
  StoredObject,
} from '@skylarkfield/providers';
import {
  MEMBER_KIND,
  parseMemberObject,
  type MemberObject,
} from './memberObject.js';

export interface MemberReader {
  /** Lists the objects that entries have written. */
  list(freshness?: Freshness): Promise<StoredObject<MemberObject>[]>;
  /** Number of times that an object was ignored. */
  unreadableCount(): number;
}

/** Number of unreadable objects that are remembered as logged. */
const MAX_LOGGED_OBJECTS = 100;

/**
 * Creates the reader of one entry.
 *
 * @example
 * const objects = await createMemberReader({store, log, signal}).list();
 */
export function createMemberReader(options: {
  readonly store: Pick<ObjectStore, 'list'>;
  readonly log: Logger;
  readonly signal: AbortSignal;
}): MemberReader {
  const {store, log, signal} = options;
  const isFirstMention = createFirstOccurrences(MAX_LOGGED_OBJECTS);
  let unreadableCount = 0;

  function recordUnreadable({name}: StoredObject): void {
    unreadableCount += 1;
    if (isFirstMention(name)) {
      log.warn({name}, 'ignored a member object of another writer');
    }
  }

  return {
    async list(freshness) {
      const {objects} = await store.list(MEMBER_KIND, signal, freshness);
      return objects.flatMap(object => {
        const value = parseMemberObject(object.value);
        if (value === undefined) {
          recordUnreadable(object);
          return [];
        }
        return [{...object, value}];
      });
    },
    unreadableCount: () => unreadableCount,
  };
}
