/** Times of the membership, all in milliseconds. */

export interface MemberTiming {
  /** Between two heartbeats to one neighbour. */
  readonly heartbeatMs: number;
  /** Silence after which a neighbour is suspect. */
  readonly suspectMs: number;
  /** The same when its connection has closed, as after a crash. */
  readonly closedSuspectMs: number;
  /** From suspect to gone, when another member confirms. */
  readonly goneMs: number;
  /** Limit of one probe or question. */
  readonly probeMs: number;
  /** Gap between two runs of our own timer that counts as a pause. */
  readonly pauseMs: number;
  /** Between two attempts to reach a member that is gone without having left. */
  readonly contactMs: number;
  /** How long a lost member is counted among the entries: it may be alive behind a cut. */
  readonly lostCountMs: number;
  /** How long a gone member is remembered, against old news of it. */
  readonly tombstoneMs: number;
  /** Difference of digests that lasts this long is reconciled. */
  readonly reconcileMs: number;
  /** Between two sweeps of dead member objects, and their least age. */
  readonly sweepMs: number;
  /** Between two looks at this entry's own object. */
  readonly ownObjectMs: number;
}

export const DEFAULT_TIMING: MemberTiming = {
  heartbeatMs: 1_000,
  suspectMs: 3_500,
  closedSuspectMs: 1_000,
  goneMs: 3_000,
  probeMs: 1_000,
  pauseMs: 2_500,
  contactMs: 5_000,
  lostCountMs: 15_000,
  tombstoneMs: 2 * 3_600_000,
  reconcileMs: 5_000,
  sweepMs: 60_000,
  ownObjectMs: 600_000,
};
