/** Messages that spread accepted records without the platform. */

/** Identity and version of an accepted record. */
export interface RecordVersion {
  readonly kind: string;
  readonly name: string;
  /** Version of the source record that the accepted form was made from. */
  readonly sourceVersion: number;
}

/** An accepted record as peers pass it on. */
export interface RelayedRecord extends RecordVersion {
  readonly isRemoved: boolean;
  /** The accepted form; absent for a removed record. */
  readonly value?: unknown;
}

/** A summary of all versions in force; equal summaries mean equal versions. */
export interface RecordDigest {
  readonly count: number;
  /** One sum per bucket of records, so that a difference is narrowed down. */
  readonly buckets: readonly number[];
}

/** What a peer has that the asker lacks, and the other way round. */
export interface RecordDifference {
  /** False while the answering peer has no complete configuration itself. */
  readonly isReady: boolean;
  readonly records: readonly RelayedRecord[];
  /** Records of which the asker has a higher version. */
  readonly wanted: readonly RecordVersion[];
}

export interface RecordMessages {
  /** Accepted records that the sender has just put in force. */
  records: {readonly records: readonly RelayedRecord[]};
  /** Digest of all that the sender has in force; a receiver that differs asks. */
  recordDigest: RecordDigest;
  /** Asks for what the sender lacks; answered with a `RecordDifference`. */
  recordsWanted: {
    readonly known: readonly RecordVersion[];
    /** Restricts the question to these buckets; absent for all. */
    readonly buckets?: readonly number[];
  };
  /** Asks whether records are in force; answered with `RecordsInForceAnswer`. */
  recordsInForce: {
    readonly records: readonly RecordVersion[];
    /** `domain`: at all live members of the receiver's failure domain. */
    readonly scope: 'self' | 'domain';
  };
}

export interface RecordsInForceAnswer {
  /** Ids of members that lack a record or did not answer. */
  readonly lacking: readonly string[];
}
