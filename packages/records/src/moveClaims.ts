/**
 * One move at a time per service, also when acceptors race.
 *
 * Two acceptors that each look first and then accept another move of the same
 * service would both succeed: their writes go to different objects. So the move
 * is first written into one object per service, which only one of them can do.
 */
import type {Clock, Fault} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import * as z from 'zod';
import type {AcceptanceView} from './acceptanceView.js';
import type {AcceptedObject} from './acceptedShapes.js';
import {ACCEPTED_KIND} from './configuration.js';
import type {Move} from './contracts.js';
import {recordKey} from './recordTable.js';
import {conditionOn} from './writeCondition.js';

/** The kind of the objects that name the move of each service. */
export const MOVE_CLAIM_KIND = 'move-claim';

export interface MoveClaims {
  /** Claims the service of an accepted move; the faults when another move has it. */
  claim(key: string, object: AcceptedObject): Promise<readonly Fault[]>;
}

const claimShape = z.object({move: z.string()});

/**
 * Makes the claims of an acceptor.
 *
 * @example
 * const faults = await claims.claim('move.booking-v2', accepted);
 */
export function createMoveClaims(options: {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly view: AcceptanceView;
  readonly signal: AbortSignal;
}): MoveClaims {
  const {clock, store, view, signal} = options;

  function isOver(name: string): boolean {
    const record = view.caseOf(recordKey({kind: 'move', name}), clock.wall());
    const accepted = record.accepted;
    if (accepted === undefined || accepted.isRemoved) {
      return record.source === undefined || accepted !== undefined;
    }
    return (accepted.value as Move).deadline <= clock.wall();
  }

  /**
   * An acceptor that claimed for a move and was paused before it accepted it
   * must not do so now: a removal in its place makes that write fail.
   */
  async function closeOff(name: string): Promise<void> {
    const key = recordKey({kind: 'move', name});
    if (view.acceptedObject(key) !== undefined) {
      return;
    }
    const {goneAt} = view.caseOf(key, clock.wall());
    const removal: AcceptedObject = {sourceVersion: goneAt, isRemoved: true};
    const condition = {type: 'absent'} as const;
    view.noteAccepted(
      key,
      await store.put(ACCEPTED_KIND, key, removal, condition, signal),
    );
  }

  return {
    async claim(key, object) {
      const {kind, name} = view.identityOf(key);
      if (kind !== 'move' || object.isRemoved) {
        return [];
      }
      const {service} = object.value as Move;
      const present = await store.get(MOVE_CLAIM_KIND, service, signal);
      const holder = claimShape.safeParse(present?.value).data?.move;
      if (holder === name) {
        return [];
      }
      if (holder !== undefined) {
        if (!isOver(holder)) {
          return [rivalFault(holder)];
        }
        await closeOff(holder);
      }
      const claim = {move: name};
      const condition = conditionOn(present);
      await store.put(MOVE_CLAIM_KIND, service, claim, condition, signal);
      return [];
    },
  };
}

/**
 * The fault of a move whose service has another one under way.
 *
 * @example
 * return [rivalFault('booking-v7')];
 */
export function rivalFault(rival: string): Fault {
  return {
    path: 'service',
    expected: `a service without another move under way; ${rival} is, remove it first`,
  };
}
