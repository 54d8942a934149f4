/**
 * Determines the outcome of a write whose reply was lost.
 *
 * Reading the object back is not enough: another writer may have replaced it
 * since, and then neither the object's version nor its write id shows whether
 * this write took effect before. The history after the version that the write
 * started from shows that, unless the platform has compacted this history.
 */
import {ServingError} from '@skylarkfield/base';
import type {StoredObject} from './contracts.js';
import type {ObjectChange, ObjectWrite} from './objectTable.js';
import type {ObjectTransport} from './objectTransport.js';

/** Outcome of a write, as far as it can be determined. */
export type WriteOutcome =
  | {readonly type: 'applied'; readonly change: ObjectChange}
  /** The write has not taken effect yet, and its condition still holds. */
  | {readonly type: 'pending'}
  /** The write has not taken effect and no longer can: its condition fails. */
  | {readonly type: 'superseded'}
  /** The history was compacted, or the deadline passed during the lookup. */
  | {readonly type: 'unknown'};

/**
 * Determines whether a write took effect.
 *
 * @param fromVersion A store version from before the write was sent.
 * @example
 * const outcome = await findWriteOutcome(transport, write, 120, signal);
 */
export async function findWriteOutcome(
  transport: ObjectTransport,
  write: ObjectWrite,
  fromVersion: number,
  signal: AbortSignal,
): Promise<WriteOutcome> {
  const {object} = await transport.get(write.kind, write.name, signal);
  if (object?.writeId === write.writeId) {
    return {type: 'applied', change: toPutChange(object)};
  }
  if (isUnchanged(write, object)) {
    return {type: 'pending'};
  }
  const changes = await readChangesAfter(transport, write, fromVersion, signal);
  if (changes === undefined) {
    return {type: 'unknown'};
  }
  const matchingChange = changes.find(
    change => change.writeId === write.writeId,
  );
  if (matchingChange !== undefined) {
    return {type: 'applied', change: matchingChange};
  }
  return {type: canStillTakeEffect(write, object) ? 'pending' : 'superseded'};
}

function toPutChange(object: StoredObject): ObjectChange {
  const {kind, name, version, writeId} = object;
  return {type: 'put', kind, name, version, writeId, object};
}

function isUnchanged(
  {condition}: ObjectWrite,
  object: StoredObject | undefined,
): boolean {
  return condition.type === 'version' && object?.version === condition.version;
}

function canStillTakeEffect(
  {condition}: ObjectWrite,
  object: StoredObject | undefined,
): boolean {
  if (condition.type === 'absent') {
    return object === undefined;
  }
  return condition.type === 'any';
}

/** Reads an object's changes after a version; undefined when compacted. */
function readChangesAfter(
  transport: ObjectTransport,
  write: ObjectWrite,
  fromVersion: number,
  signal: AbortSignal,
): Promise<readonly ObjectChange[] | undefined> {
  return new Promise((resolve, reject) => {
    const changes: ObjectChange[] = [];
    const watch = transport.watch(write.kind, fromVersion, {
      onDidOpen: () => {},
      onDidChange(change) {
        if (change.name === write.name) {
          changes.push(change);
        }
      },
      onDidCatchUp: () => finish(changes),
      onDidEnd(reason) {
        if (reason === 'compacted') {
          finish(undefined);
          return;
        }
        reject(
          new ServingError(
            'platform-unavailable',
            'the watch ended before the history was complete',
          ),
        );
      },
    });
    // A transport may deliver all events before `watch` returns.
    let isFinished = false;
    function finish(result: readonly ObjectChange[] | undefined) {
      isFinished = true;
      queueMicrotask(() => watch.dispose());
      resolve(result);
    }
    signal.addEventListener('abort', () => {
      if (!isFinished) {
        watch.dispose();
      }
      reject(
        new ServingError(
          'outcome-unknown',
          'the history did not arrive before the deadline',
        ),
      );
    });
  });
}
