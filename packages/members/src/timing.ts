/** Intervals and timeouts of cluster membership, all in milliseconds. */

export interface MemberTiming {
  /** Interval of heartbeats to each neighbour. */
  readonly heartbeatIntervalMs: number;
  /** Time without a heartbeat after which a neighbour becomes suspect. */
  readonly silenceTimeoutMs: number;
  /**
   * Time without a heartbeat after which a neighbour becomes suspect if its
   * connection has closed, as on a crash.
   */
  readonly closedSilenceTimeoutMs: number;
  /**
   * Minimum time from suspect to gone; another member must confirm the silence.
   */
  readonly suspicionTimeoutMs: number;
  /**
   * The same in fleets in which few members get heartbeats of a suspect, if
   * several members confirm the silence: the others learn of it up to a second
   * later, and list the suspect until then.
   */
  readonly relayedSuspicionTimeoutMs: number;
  /** Timeout of a probe or any other membership request. */
  readonly probeTimeoutMs: number;
  /** Time between two heartbeat ticks above which the process was paused. */
  readonly pauseThresholdMs: number;
  /**
   * Interval of attempts to reach a lost member, one that is gone without
   * having announced that it leaves.
   */
  readonly reconnectIntervalMs: number;
  /**
   * Time for which `entryCount` includes a lost member, which may be alive
   * behind a network partition.
   */
  readonly lostGraceMs: number;
  /**
   * Time for which the tombstone of a gone member is kept to reject outdated
   * updates.
   */
  readonly tombstoneTtlMs: number;
  /**
   * Time for which a peer's digest must differ before its updates are fetched.
   */
  readonly reconcileDelayMs: number;
  /**
   * Interval of sweeps that remove the objects of dead members; also the time
   * for which a member must be gone before its object is removed.
   */
  readonly sweepIntervalMs: number;
  /** Interval of checks that the object of this entry still exists. */
  readonly ownObjectCheckIntervalMs: number;
}

export const DEFAULT_MEMBER_TIMING: MemberTiming = {
  heartbeatIntervalMs: 1_000,
  silenceTimeoutMs: 3_500,
  closedSilenceTimeoutMs: 1_000,
  suspicionTimeoutMs: 3_000,
  relayedSuspicionTimeoutMs: 2_000,
  probeTimeoutMs: 1_000,
  pauseThresholdMs: 2_500,
  reconnectIntervalMs: 5_000,
  lostGraceMs: 15_000,
  tombstoneTtlMs: 2 * 3_600_000,
  reconcileDelayMs: 5_000,
  sweepIntervalMs: 60_000,
  ownObjectCheckIntervalMs: 600_000,
};
