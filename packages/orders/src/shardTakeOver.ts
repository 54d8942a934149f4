/** Takes a shard over from its last owner, or yields to a reachable owner. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {Ownership} from './shardContracts.js';
import {LEDGER_FORMAT, type ShardRecord} from './shardRecord.js';
import type {ShardSegments} from './shardSegments.js';
import type {ShardTable} from './shardTable.js';
import type {ShardWriter} from './shardWriter.js';

export interface TakeOverOptions {
  readonly index: number;
  readonly member: string;
  readonly clock: Clock;
  /** How long a process that lost the shard leaves it to its new owner. */
  readonly holdOffMs: number;
  readonly isReachable: (member: string) => boolean;
  readonly writer: ShardWriter;
  readonly segments: ShardSegments;
  readonly table: ShardTable;
  /** Starts an epoch of this process; returns its first record. */
  readonly beginEpoch: (epoch: number) => ShardRecord;
  /** Called when the first record was committed, so that the shard is owned. */
  readonly onDidCommit: (
    version: number,
    previousOwner: string | undefined,
  ) => void;
}

export interface TakeOver {
  /**
   * Takes over the shard by writing a new epoch. During the hold-off time, and
   * after another process has changed the shard during an attempt, returns the
   * current owner instead if it is a reachable peer.
   *
   * Throws `platform-unavailable` if the platform can't be reached, the shard
   * has a newer format, or every attempt met a change by another process.
   */
  run(): Promise<Ownership>;
  /** Starts the hold-off time, after the shard was lost to `owner`. */
  holdOff(owner: string | undefined): void;
  /**
   * Id of the owner that keeps the shard during the hold-off time; undefined
   * after that time, or when the owner is unknown or unreachable.
   */
  holdOffOwner(): string | undefined;
  /** Id of the last known owner other than this process. */
  lastKnownOwner(): string | undefined;
}

const MAX_TAKE_OVER_ATTEMPTS = 5;

/**
 * Creates the take-over of one shard.
 *
 * @example
 * const ownership = await takeOver.run();
 */
export function createTakeOver(options: TakeOverOptions): TakeOver {
  const {index, member, clock, writer, segments, table} = options;
  let holdOffUntil = -Infinity;
  let lastKnownOwner: string | undefined;

  function shouldYield(currentRecord: ShardRecord, attempt: number): boolean {
    const isOwnedByPeer =
      currentRecord.owner !== '' && currentRecord.ownerMember !== member;
    const shouldRespectOwner = attempt > 0 || clock.now() < holdOffUntil;
    return (
      isOwnedByPeer &&
      shouldRespectOwner &&
      options.isReachable(currentRecord.ownerMember)
    );
  }

  /** Returns undefined when another process changed the shard meanwhile. */
  async function tryTakeOver(attempt: number): Promise<Ownership | undefined> {
    const storedObject = await writer.read();
    const currentRecord = storedObject?.value;
    if (currentRecord !== undefined && currentRecord.format > LEDGER_FORMAT) {
      throw unsupportedFormatError(index, currentRecord.format);
    }
    if (currentRecord !== undefined && shouldYield(currentRecord, attempt)) {
      lastKnownOwner = currentRecord.ownerMember;
      return {type: 'elsewhere', member: currentRecord.ownerMember};
    }
    const segmentEntries = await segments.read(currentRecord?.segments ?? []);
    if (segmentEntries === undefined) {
      return undefined;
    }
    table.load(
      currentRecord?.entries ?? [],
      segmentEntries,
      currentRecord?.age ?? 0,
    );
    const record = options.beginEpoch((currentRecord?.epoch ?? 0) + 1);
    const result = await writer.write(record, storedObject?.version);
    if (result.type === 'refused') {
      throw result.error;
    }
    if (result.type === 'lost') {
      return undefined;
    }
    options.onDidCommit(result.version, currentRecord?.owner);
    return {type: 'owned'};
  }

  return {
    async run() {
      for (let attempt = 0; attempt < MAX_TAKE_OVER_ATTEMPTS; attempt++) {
        const ownership = await tryTakeOver(attempt);
        if (ownership !== undefined) {
          return ownership;
        }
      }
      throw new ServingError(
        'platform-unavailable',
        `shard ${index} was changed by another process during every take-over attempt`,
      );
    },
    holdOff(owner) {
      lastKnownOwner = owner;
      holdOffUntil = clock.now() + options.holdOffMs;
    },
    holdOffOwner() {
      const isHeldOff = clock.now() < holdOffUntil;
      if (
        !isHeldOff ||
        !lastKnownOwner ||
        !options.isReachable(lastKnownOwner)
      ) {
        return undefined;
      }
      return lastKnownOwner;
    },
    lastKnownOwner: () => lastKnownOwner,
  };
}

function unsupportedFormatError(index: number, format: number): ServingError {
  return new ServingError(
    'platform-unavailable',
    `shard ${index} has format ${format}, which this release can't read`,
  );
}
