/**
 * Ensures one move at a time per service, even when acceptors race.
 *
 * Two acceptors that check first and then accept different moves of a service
 * would both succeed, since they write different objects. Therefore an acceptor
 * first claims the service for its move by writing one object per service,
 * which only one acceptor can write.
 */
import type {Clock, ValidationFault} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import * as z from 'zod';
import {createConflictingMoveFault} from './acceptanceDecision.js';
import type {AcceptedObject} from './acceptedSchemas.js';
import {ACCEPTED_KIND} from './configuration.js';
import type {Move} from './contracts.js';
import type {RecordCache} from './recordCache.js';
import {recordKey} from './recordTable.js';
import {unchangedCondition} from './writeCondition.js';

/** Kind of the stored objects that name the move of each service. */
export const MOVE_CLAIM_KIND = 'move-claim';

export interface MoveClaims {
  /**
   * Claims the service of a move; returns faults if another move has claimed
   * the service.
   */
  claim(
    key: string,
    object: AcceptedObject,
  ): Promise<readonly ValidationFault[]>;
}

const claimSchema = z.object({move: z.string()});

/**
 * Creates the move claims of an acceptor.
 *
 * @example
 * const faults = await claims.claim('move.booking-v2', accepted);
 */
export function createMoveClaims(options: {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly cache: RecordCache;
  readonly signal: AbortSignal;
}): MoveClaims {
  const {clock, store, cache, signal} = options;

  /** Returns whether a move was removed or is past its deadline. */
  function hasMoveEnded(name: string): boolean {
    const input = cache.acceptanceInput(
      recordKey({kind: 'move', name}),
      clock.wall(),
    );
    const accepted = input.accepted;
    if (accepted === undefined || accepted.isRemoved) {
      return input.source === undefined || accepted !== undefined;
    }
    return (accepted.value as Move).deadline <= clock.wall();
  }

  /**
   * Writes a tombstone in place of the accepted move. An acceptor that claimed
   * the service for this move and was then paused must not accept the move any
   * more.
   */
  async function writeTombstone(name: string): Promise<void> {
    const key = recordKey({kind: 'move', name});
    if (cache.acceptedObject(key) !== undefined) {
      return;
    }
    const {removalVersion} = cache.acceptanceInput(key, clock.wall());
    const tombstone: AcceptedObject = {
      sourceVersion: removalVersion,
      isRemoved: true,
    };
    const condition = {type: 'absent'} as const;
    cache.updateAccepted(
      key,
      await store.put(ACCEPTED_KIND, key, tombstone, condition, signal),
    );
  }

  return {
    async claim(key, object) {
      const {kind, name} = cache.parseRecordKey(key);
      if (kind !== 'move' || object.isRemoved) {
        return [];
      }
      const {service} = object.value as Move;
      const currentClaim = await store.get(MOVE_CLAIM_KIND, service, signal);
      const claimingMove = claimSchema.safeParse(currentClaim?.value).data
        ?.move;
      if (claimingMove === name) {
        return [];
      }
      if (claimingMove !== undefined) {
        if (!hasMoveEnded(claimingMove)) {
          return [createConflictingMoveFault(claimingMove)];
        }
        await writeTombstone(claimingMove);
      }
      const newClaim = {move: name};
      const condition = unchangedCondition(currentClaim);
      await store.put(MOVE_CLAIM_KIND, service, newClaim, condition, signal);
      return [];
    },
  };
}
