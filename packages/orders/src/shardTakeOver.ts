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
  /** How long a deposed owner leaves the shard to the new one. */
  readonly holdOffMs: number;
  readonly isReachable: (member: string) => boolean;
  readonly writer: ShardWriter;
  readonly segments: ShardSegments;
  readonly table: ShardTable;
  /** Starts an epoch of this process; returns its first record. */
  readonly beginEpoch: (epoch: number) => ShardRecord;
  /** The first record was committed as this version: the shard is owned. */
  readonly onDidCommit: (
    version: number,
    previousOwner: string | undefined,
  ) => void;
}

export interface TakeOver {
  /** Writes a new epoch to the shard. Throws `platform-unavailable`. */
  run(): Promise<Ownership>;
  /** Starts the hold-off time after the shard was lost to this owner. */
  holdOff(owner: string | undefined): void;
  /** The reachable owner that the shard is left to now, if any. */
  holdOffOwner(): string | undefined;
  /** The last owner seen other than this process. */
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

  function shouldYield(head: ShardRecord, attempt: number): boolean {
    const isOwnedByPeer = head.owner !== '' && head.ownerMember !== member;
    const shouldRespectOwner = attempt > 0 || clock.now() < holdOffUntil;
    return (
      isOwnedByPeer &&
      shouldRespectOwner &&
      options.isReachable(head.ownerMember)
    );
  }

  /** Returns undefined when another process changed the shard meanwhile. */
  async function tryTakeOver(attempt: number): Promise<Ownership | undefined> {
    const stored = await writer.read();
    const head = stored?.value;
    if (head !== undefined && head.format > LEDGER_FORMAT) {
      throw unsupportedFormatError(index, head.format);
    }
    if (head !== undefined && shouldYield(head, attempt)) {
      lastKnownOwner = head.ownerMember;
      return {type: 'elsewhere', member: head.ownerMember};
    }
    const sealed = await segments.read(head?.segments ?? []);
    if (sealed === undefined) {
      return undefined;
    }
    table.load(head?.entries ?? [], sealed, head?.age ?? 0);
    const record = options.beginEpoch((head?.epoch ?? 0) + 1);
    const result = await writer.write(record, stored?.version);
    if (result.type === 'refused') {
      throw result.error;
    }
    if (result.type === 'lost') {
      return undefined;
    }
    options.onDidCommit(result.version, head?.owner);
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
        `the owner of shard ${index} changes too often`,
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
