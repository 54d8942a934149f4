/** What an acceptor sees: the records that operators wrote and their accepted forms. */
import {disposableStore, type Disposable} from '@skylarkfield/base';
import type {ObjectStore, StoredObject} from '@skylarkfield/providers';
import type {AcceptanceCase, SourceRecord} from './acceptanceDecision.js';
import type {AcceptedObject} from './acceptedShapes.js';
import {ACCEPTED_KIND} from './configuration.js';
import type {Move, RecordKind} from './contracts.js';
import {recordKinds} from './convertRecord.js';
import {recordKey} from './recordTable.js';

export interface AcceptanceView extends Disposable {
  /** False until every kind has been listed: what is missing before is not removed. */
  isComplete(): boolean;
  caseOf(key: string, wall: number): AcceptanceCase;
  acceptedObject(key: string): StoredObject<AcceptedObject> | undefined;
  noteAccepted(
    key: string,
    object: StoredObject<AcceptedObject> | undefined,
  ): void;
  /** The keys with services before the moves that name them. */
  inOrder(keys: Iterable<string>): readonly string[];
  /** Whether a change of this record can change the decision on a move. */
  canAffectMoves(key: string): boolean;
  /** The keys of all moves that operators have written. */
  moves(): readonly string[];
  identityOf(key: string): {readonly kind: RecordKind; readonly name: string};
}

/**
 * Starts to watch the records and the accepted objects.
 *
 * @example
 * const view = createAcceptanceView({store, onDidChange: key => queue.add(key)});
 */
export function createAcceptanceView(options: {
  readonly store: ObjectStore;
  readonly onDidChange: (key: string) => void;
  /** Hears of every accepted object that is seen. */
  readonly onDidAccept?: (key: string, accepted: AcceptedObject) => void;
}): AcceptanceView {
  const {store, onDidChange, onDidAccept} = options;
  const owned = disposableStore();
  const sources = new Map<string, SourceRecord>();
  /** Store versions at which a record was seen to be gone. */
  const goneAt = new Map<string, number>();
  const accepted = new Map<string, StoredObject<AcceptedObject>>();
  const listed = new Set<string>();
  const listedAt = new Map<string, number>();

  function isComplete(): boolean {
    return listed.size === recordKinds.length + 1;
  }

  function markAll(): void {
    for (const key of new Set([...sources.keys(), ...accepted.keys()])) {
      onDidChange(key);
    }
  }

  function noteListed(kind: string): void {
    listed.add(kind);
    markAll();
  }

  function noteAccepted(
    key: string,
    object: StoredObject<AcceptedObject> | undefined,
  ): void {
    const present = accepted.get(key);
    // A reply to our own write and the watch may tell the same change in either order.
    if (object !== undefined && (present?.version ?? 0) < object.version) {
      accepted.set(key, object);
      onDidAccept?.(key, object.value);
    }
    if (object === undefined) {
      accepted.delete(key);
    }
  }

  function watchSource(kind: RecordKind): void {
    owned.add(
      store.watch(kind, {
        onDidList({version, objects}) {
          for (const key of [...sources.keys()]) {
            if (identityOf(key).kind === kind) {
              sources.delete(key);
            }
          }
          listedAt.set(kind, version);
          for (const object of objects) {
            noteSource(kind, object);
          }
          noteListed(kind);
        },
        onDidPut(object) {
          noteSource(kind, object);
          onDidChange(recordKey({kind, name: object.name}));
        },
        onDidRemove(name, version) {
          const key = recordKey({kind, name});
          sources.delete(key);
          goneAt.set(key, version);
          onDidChange(key);
        },
      }),
    );
  }

  function noteSource(kind: RecordKind, object: StoredObject): void {
    const key = recordKey({kind, name: object.name});
    sources.set(key, {version: object.version, value: object.value});
    goneAt.delete(key);
  }

  function watchAccepted(): void {
    owned.add(
      store.watch<AcceptedObject>(ACCEPTED_KIND, {
        onDidList({objects}) {
          accepted.clear();
          objects.forEach(object => noteAccepted(object.name, object));
          noteListed(ACCEPTED_KIND);
        },
        onDidPut(object) {
          noteAccepted(object.name, object);
          onDidChange(object.name);
        },
        onDidRemove(name) {
          accepted.delete(name);
          onDidChange(name);
        },
      }),
    );
  }

  function inForce(kind: RecordKind): readonly unknown[] {
    return [...accepted.values()]
      .filter(
        object =>
          identityOf(object.name).kind === kind && !object.value.isRemoved,
      )
      .map(object => object.value.value);
  }

  const others = {
    hasService: (name: string) =>
      accepted.get(recordKey({kind: 'service', name}))?.value.isRemoved ===
      false,
    moves: () => inForce('move') as readonly Move[],
  };

  watchAccepted();
  recordKinds.forEach(watchSource);
  return {
    isComplete,
    caseOf(key, wall) {
      const {kind, name} = identityOf(key);
      return {
        kind,
        name,
        source: sources.get(key),
        goneAt: Math.max(goneAt.get(key) ?? 0, listedAt.get(kind) ?? 0),
        accepted: accepted.get(key)?.value,
        others,
        wall,
      };
    },
    acceptedObject: key => accepted.get(key),
    noteAccepted,
    inOrder(keys) {
      const rank = (key: string) => recordKinds.indexOf(identityOf(key).kind);
      return [...keys].sort((a, b) => rank(a) - rank(b));
    },
    canAffectMoves: key => ['move', 'service'].includes(identityOf(key).kind),
    moves: () =>
      [...sources.keys()].filter(key => identityOf(key).kind === 'move'),
    identityOf,
    dispose: () => owned.dispose(),
  };
}

function identityOf(key: string): {kind: RecordKind; name: string} {
  const dot = key.indexOf('.');
  return {kind: key.slice(0, dot) as RecordKind, name: key.slice(dot + 1)};
}
