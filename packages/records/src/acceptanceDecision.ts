/** What is to be done about one record; no I/O, so that every case can be tried. */
import {isServingError, type Fault} from '@skylarkfield/base';
import type {AcceptedObject} from './acceptedShapes.js';
import type {Move, RecordKind} from './contracts.js';
import {convertRecord} from './convertRecord.js';
import {rivalFault} from './moveClaims.js';

/** A record as an operator wrote it. */
export interface SourceRecord {
  readonly version: number;
  readonly value: unknown;
}

/** What is known of a record when it is decided on. */
export interface AcceptanceCase {
  readonly kind: RecordKind;
  readonly name: string;
  /** Undefined when the operator has removed it. */
  readonly source: SourceRecord | undefined;
  /** A store version at which it was seen to be gone; only without a source. */
  readonly goneAt: number;
  readonly accepted: AcceptedObject | undefined;
  /** Checks across records; the faults of an otherwise valid record. */
  readonly others: AcceptedView;
  /** Wall-clock milliseconds. */
  readonly wall: number;
}

/** The accepted records that others are checked against. */
export interface AcceptedView {
  hasService(name: string): boolean;
  moves(): readonly Move[];
}

export type AcceptanceDecision =
  | {readonly type: 'nothing'}
  | {readonly type: 'accept'; readonly object: AcceptedObject}
  | {
      readonly type: 'refuse';
      readonly sourceVersion: number;
      readonly faults: readonly Fault[];
    };

/**
 * Decides on a record. The source version of what is accepted only rises: an
 * acceptor that reads an old listing has nothing to do, and can take nothing back.
 *
 * @example
 * const decision = decideRecord({kind: 'service', name: 'booking', source, goneAt: 0, accepted, others, wall});
 */
export function decideRecord(record: AcceptanceCase): AcceptanceDecision {
  if (record.source === undefined) {
    return decideRemoval(record);
  }
  const {version, value} = record.source;
  if (
    record.accepted !== undefined &&
    record.accepted.sourceVersion >= version
  ) {
    return {type: 'nothing'};
  }
  try {
    const accepted = convertRecord(record.kind, record.name, value);
    const faults = faultsAmongOthers(record, accepted);
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

/** The removal is kept as a record of its own, so that no peer brings the record back. */
function decideRemoval({accepted, goneAt}: AcceptanceCase): AcceptanceDecision {
  if (
    accepted === undefined ||
    accepted.isRemoved ||
    accepted.sourceVersion >= goneAt
  ) {
    return {type: 'nothing'};
  }
  return {type: 'accept', object: {sourceVersion: goneAt, isRemoved: true}};
}

function faultsAmongOthers(
  {kind, others, wall}: AcceptanceCase,
  accepted: unknown,
): readonly Fault[] {
  if (kind !== 'move') {
    return [];
  }
  const move = accepted as Move;
  const faults: Fault[] = [];
  if (!others.hasService(move.service)) {
    faults.push({path: 'service', expected: 'an accepted service'});
  }
  const rival = others
    .moves()
    .find(
      other =>
        other.name !== move.name &&
        other.service === move.service &&
        other.deadline > wall,
    );
  if (rival !== undefined) {
    faults.push(rivalFault(rival.name));
  }
  return faults;
}
