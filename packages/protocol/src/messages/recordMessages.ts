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

export interface RecordMessages {
  /** Accepted records that the sender has just put in force. */
  records: {readonly records: readonly RelayedRecord[]};
  /** Digest of all that the sender has in force; a receiver that differs asks. */
  recordDigest: {readonly digest: string; readonly count: number};
  /** Asks for the sender's accepted records; answered with `records`' body. */
  recordsWanted: {readonly known: readonly RecordVersion[]};
}
