/** Intervals and timeouts of the membership, all in milliseconds. */

export interface MemberTiming {
  /** Interval of heartbeats to each neighbour. */
  readonly heartbeatIntervalMs: number;
  /** Time without a heartbeat after which a neighbour becomes suspect. */
  readonly silenceTimeoutMs: number;
  /** The same after its connection has closed, as on a crash. */
  readonly closedSilenceTimeoutMs: number;
  /** Minimum time from suspect to gone; also needs confirmation by a member. */
  readonly suspicionTimeoutMs: number;
  /** Timeout of a probe or any other membership request. */
  readonly probeTimeoutMs: number;
  /** Gap between two runs of the local timer that counts as a process pause. */
  readonly pauseThresholdMs: number;
  /** Interval of attempts to reach a lost member, gone without having left. */
  readonly reconnectIntervalMs: number;
  /** Time that a lost member, possibly partitioned, remains in `entryCount`. */
  readonly lostGraceMs: number;
  /** Lifetime of a tombstone, which guards against outdated updates. */
  readonly tombstoneTtlMs: number;
  /** Time that a digest must differ before the members are reconciled. */
  readonly reconcileDelayMs: number;
  /** Interval of sweeps for objects of members gone for at least this time. */
  readonly sweepIntervalMs: number;
  /** Interval of checks of this entry's own object. */
  readonly ownObjectCheckIntervalMs: number;
}

export const DEFAULT_TIMING: MemberTiming = {
  heartbeatIntervalMs: 1_000,
  silenceTimeoutMs: 3_500,
  closedSilenceTimeoutMs: 1_000,
  suspicionTimeoutMs: 3_000,
  probeTimeoutMs: 1_000,
  pauseThresholdMs: 2_500,
  reconnectIntervalMs: 5_000,
  lostGraceMs: 15_000,
  tombstoneTtlMs: 2 * 3_600_000,
  reconcileDelayMs: 5_000,
  sweepIntervalMs: 60_000,
  ownObjectCheckIntervalMs: 600_000,
};
