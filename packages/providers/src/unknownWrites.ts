/**
 * Finds out what became of a write whose reply was lost.
 *
 * Reading the object back is not enough: another writer may have replaced it
 * since, and then neither its version nor its write id tells whether our write
 * took effect before. The changes after the version that the write started
 * from tell it, as long as the platform still keeps them.
 */
import {ServingError} from '@skylarkfield/base';
import type {StoredObject} from './contracts.js';
import type {ObjectChange, ObjectWrite} from './objectTable.js';
import type {ObjectTransport} from './objectTransport.js';

/** What is known of a write after looking. */
export type WriteFinding =
  | {readonly type: 'landed'; readonly change: ObjectChange}
  /** It has not taken effect up to now, and what it depends on still holds. */
  | {readonly type: 'open'}
  /** It has not taken effect, and now it cannot any more. */
  | {readonly type: 'overtaken'}
  | {readonly type: 'unknown'};

/**
 * Looks for a write's effect.
 *
 * @param from A store version from before the write was sent.
 * @example
 * const finding = await findWrite(transport, write, 120, signal);
 */
export async function findWrite(
  transport: ObjectTransport,
  write: ObjectWrite,
  from: number,
  signal: AbortSignal,
): Promise<WriteFinding> {
  const {object} = await transport.get(write.kind, write.name, signal);
  if (object?.writeId === write.writeId) {
    return {type: 'landed', change: putChange(object)};
  }
  if (isUntouched(write, object)) {
    return {type: 'open'};
  }
  const changes = await changesAfter(transport, write, from, signal);
  if (changes === undefined) {
    return {type: 'unknown'};
  }
  const own = changes.find(change => change.writeId === write.writeId);
  if (own !== undefined) {
    return {type: 'landed', change: own};
  }
  return {type: isStillPossible(write, object) ? 'open' : 'overtaken'};
}

function putChange(object: StoredObject): ObjectChange {
  const {kind, name, version, writeId} = object;
  return {type: 'put', kind, name, version, writeId, object};
}

function isUntouched(
  {condition}: ObjectWrite,
  object: StoredObject | undefined,
): boolean {
  return condition.type === 'version' && object?.version === condition.version;
}

function isStillPossible(
  {condition}: ObjectWrite,
  object: StoredObject | undefined,
): boolean {
  if (condition.type === 'absent') {
    return object === undefined;
  }
  return condition.type === 'any';
}

/** The object's changes after a version; undefined when they are not kept any more. */
function changesAfter(
  transport: ObjectTransport,
  write: ObjectWrite,
  from: number,
  signal: AbortSignal,
): Promise<readonly ObjectChange[] | undefined> {
  return new Promise((resolve, reject) => {
    const changes: ObjectChange[] = [];
    const watch = transport.watch(write.kind, from, {
      onDidOpen: () => {},
      onDidChange(change) {
        if (change.name === write.name) {
          changes.push(change);
        }
      },
      onDidCatchUp: () => finish(changes),
      onDidEnd(end) {
        if (end === 'compacted') {
          finish(undefined);
          return;
        }
        reject(
          new ServingError('platform-unavailable', 'the history was cut off'),
        );
      },
    });
    // A transport may tell everything before `watch` returns.
    let isFinished = false;
    function finish(found: readonly ObjectChange[] | undefined) {
      isFinished = true;
      queueMicrotask(() => watch.dispose());
      resolve(found);
    }
    signal.addEventListener('abort', () => {
      if (!isFinished) {
        watch.dispose();
      }
      reject(new ServingError('outcome-unknown', 'the history came too late'));
    });
  });
}
