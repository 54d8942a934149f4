/** Messages that replicate accepted records without the platform. */

/** Identity and version of an accepted record. */
export interface RecordVersion {
  readonly kind: string;
  readonly name: string;
  /** Version of the source record that the accepted form derives from. */
  readonly sourceVersion: number;
}

/** Accepted record relayed by a peer. */
export interface RelayedRecord extends RecordVersion {
  readonly isRemoved: boolean;
  /** The accepted form; absent for a removed record. */
  readonly value?: unknown;
}

/**
 * Digest of the versions of all records in force; equal digests mean equal
 * versions.
 */
export interface RecordDigest {
  readonly count: number;
  /** One checksum per bucket of records, to locate a difference. */
  readonly buckets: readonly number[];
}

/** Response to `recordsWanted`: how the records of the two members differ. */
export interface RecordDifference {
  /** False while the responder itself has no complete configuration. */
  readonly isReady: boolean;
  readonly records: readonly RelayedRecord[];
  /** Records of which the requester has a higher version. */
  readonly wanted: readonly RecordVersion[];
}

export interface RecordMessages {
  /** Accepted records that the sender has just put in force. */
  records: {readonly records: readonly RelayedRecord[]};
  /** Sender's digest; a receiver whose digest differs sends `recordsWanted`. */
  recordDigest: RecordDigest;
  /** Requests records that the sender lacks. Response: `RecordDifference`. */
  recordsWanted: {
    readonly known: readonly RecordVersion[];
    /** Restricts the request to these buckets; absent for all. */
    readonly buckets?: readonly number[];
  };
  /** Asks if records are in force. Response: `RecordsInForceResponse`. */
  recordsInForce: {
    readonly records: readonly RecordVersion[];
    /** Receiver alone, or all live members of its failure domain. */
    readonly scope: 'self' | 'domain';
  };
}

export interface RecordsInForceResponse {
  /** Ids of members that lack a record or did not respond. */
  readonly lacking: readonly string[];
}
