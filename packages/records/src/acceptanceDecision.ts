/** Decision on a record, without I/O so that every case can be tested. */
import {isServingError, type ValidationFault} from '@skylarkfield/base';
import type {AcceptedObject} from './acceptedSchemas.js';
import type {Move, RecordKind} from './contracts.js';
import {convertRecord} from './convertRecord.js';

/** A record as an operator wrote it. */
export interface SourceRecord {
  readonly version: number;
  readonly value: unknown;
}

/** Input of the decision on a record. */
export interface AcceptanceInput {
  readonly kind: RecordKind;
  readonly name: string;
  /** Record as the operator wrote it; undefined if it was removed. */
  readonly source: SourceRecord | undefined;
  /** Store version at which `source` was absent, if `source` is undefined. */
  readonly removalVersion: number;
  readonly accepted: AcceptedObject | undefined;
  /** Accepted records that a move is validated against. */
  readonly acceptedIndex: AcceptedIndex;
  /** Wall-clock milliseconds. */
  readonly wallMs: number;
}

/** Accepted records that other records are validated against. */
export interface AcceptedIndex {
  hasService(name: string): boolean;
  moves(): readonly Move[];
}

export type AcceptanceDecision =
  | {readonly type: 'nothing'}
  | {readonly type: 'accept'; readonly object: AcceptedObject}
  | {
      readonly type: 'refuse';
      readonly sourceVersion: number;
      readonly faults: readonly ValidationFault[];
    };

/**
 * Decides on a record. The accepted source version never decreases: an acceptor
 * that reads a stale listing decides on `nothing` and cannot revert an accepted
 * change.
 *
 * @example
 * const decision = decideAcceptance(cache.acceptanceInput(key, clock.wall()));
 */
export function decideAcceptance(input: AcceptanceInput): AcceptanceDecision {
  if (input.source === undefined) {
    return decideRemoval(input);
  }
  const {version, value} = input.source;
  if (input.accepted !== undefined && input.accepted.sourceVersion >= version) {
    return {type: 'nothing'};
  }
  try {
    const accepted = convertRecord(input.kind, input.name, value);
    const faults = findCrossRecordFaults(input, accepted);
    if (faults.length > 0) {
      return {type: 'refuse', sourceVersion: version, faults};
    }
    return {
      type: 'accept',
      object: {sourceVersion: version, isRemoved: false, value: accepted},
    };
  } catch (error) {
    if (!isServingError(error, 'bad-record')) {
      throw error;
    }
    return {type: 'refuse', sourceVersion: version, faults: error.faults};
  }
}

/**
 * Decides on a removed record. The removal is stored as a tombstone, so that no
 * peer restores the record.
 */
function decideRemoval({
  accepted,
  removalVersion,
}: AcceptanceInput): AcceptanceDecision {
  if (
    accepted === undefined ||
    accepted.isRemoved ||
    accepted.sourceVersion >= removalVersion
  ) {
    return {type: 'nothing'};
  }
  return {
    type: 'accept',
    object: {sourceVersion: removalVersion, isRemoved: true},
  };
}

function findCrossRecordFaults(
  {kind, acceptedIndex, wallMs}: AcceptanceInput,
  accepted: unknown,
): readonly ValidationFault[] {
  if (kind !== 'move') {
    return [];
  }
  const move = accepted as Move;
  const faults: ValidationFault[] = [];
  if (!acceptedIndex.hasService(move.service)) {
    faults.push({path: 'service', expected: 'an accepted service'});
  }
  const conflictingMove = acceptedIndex
    .moves()
    .find(
      other =>
        other.name !== move.name &&
        other.service === move.service &&
        other.deadline > wallMs,
    );
  if (conflictingMove !== undefined) {
    faults.push(createConflictingMoveFault(conflictingMove.name));
  }
  return faults;
}

/**
 * Returns the fault of a move whose service has another move in progress.
 *
 * @example
 * return [createConflictingMoveFault('booking-v7')];
 */
export function createConflictingMoveFault(
  conflictingMove: string,
): ValidationFault {
  return {
    path: 'service',
    expected: `a service without another move in progress; to start this one, remove ${conflictingMove}`,
  };
}
