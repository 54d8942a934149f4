/**
 * Rules by which the state of an object outlives the store's return from a copy.
 *
 * The copy lacks the latest changes. Who wrote them writes them again, but until
 * then the copy would bring back earlier configurations, removed keys, and
 * endpoints that have left.
 */
import type {MirrorKind} from '@skylarkfield/protocol';
import {CRASH_TTL_MS, type CrashReport} from '@skylarkfield/routing';
import {
  currentRolloutState,
  type DomainDrain,
  type RegisteredEndpoint,
  type Rollout,
  type RolloutState,
  type TrafficPolicy,
} from '@skylarkfield/traffic';

/** State of an object that a mirror knew before the store returned. */
export interface EarlierState<T> {
  /** Store revision of the value. */
  readonly revision: number;
  /** Last value; that before the removal if the object was removed. */
  readonly value: T;
  readonly isRemoved: boolean;
}

/** What a mirror knows of the object that the restored store holds. */
export interface RestoredState<T> {
  /** Undefined if the store does not have the object. */
  readonly value: T | undefined;
  /** Whether the object was written since the store returned. */
  readonly isRewritten: boolean;
}

/** Rule for the objects of one kind. */
export interface RetentionRule<T> {
  /**
   * Returns how long the earlier state stays in force unless it is written
   * again, in milliseconds; 0 if the store's state applies at once.
   */
  retentionMs(earlier: EarlierState<T>, restored: RestoredState<T>): number;
  /**
   * Returns the time after a return in which reads do not confirm the mirror, in
   * milliseconds; `ageMs` is the mirror's age at the return.
   */
  settlingMs(ageMs: number): number;
}

/** Values of the mirrored kinds. */
export interface MirroredValues {
  readonly policy: TrafficPolicy;
  readonly endpoints: RegisteredEndpoint;
  readonly rollouts: Rollout;
  readonly crashes: CrashReport;
  readonly domainDrains: DomainDrain;
}

/**
 * Time within which an operator writes again what the store lost, in
 * milliseconds. The platform also removes endpoints that no longer exist within
 * this time.
 */
const REWRITE_MS = 5_000;

/**
 * Time within which a live endpoint registers again, in milliseconds; one that
 * is still missing then is gone.
 */
const REGISTRATION_MS = 3_000;

/**
 * Age up to which a policy is confirmed at once when the store returns, and the
 * time that it waits for the operator otherwise, in milliseconds. Both together
 * stay below the time within which a removed key has to be rejected.
 */
const MAX_UNSETTLED_AGE_MS = 2_500;
const SETTLING_MS = 2_500;

const ROLLOUT_PROGRESS: Readonly<Record<RolloutState, number>> = {
  running: 1,
  done: 2,
  'rolled-back': 2,
};

/** The document with the highest version applies, whenever it was written. */
const policyRule: RetentionRule<TrafficPolicy> = {
  retentionMs: ({value, isRemoved}, restored) =>
    !isRemoved && value.version > (restored.value?.version ?? -Infinity)
      ? Infinity
      : 0,
  // A key that was removed in the lost seconds is removed again by the operator,
  // which may be too late if the store was away for long.
  settlingMs: ageMs => (ageMs > MAX_UNSETTLED_AGE_MS ? SETTLING_MS : 0),
};

const endpointRule: RetentionRule<RegisteredEndpoint> = {
  retentionMs({value, isRemoved}, restored) {
    if (restored.value === undefined) {
      return isRemoved || restored.isRewritten ? 0 : REGISTRATION_MS;
    }
    if (restored.value.bornAt !== value.bornAt) {
      return !isRemoved && value.bornAt > restored.value.bornAt ? Infinity : 0;
    }
    if (isRemoved) {
      return restored.isRewritten ? 0 : REWRITE_MS;
    }
    // The departure of a process is final.
    return value.state === 'draining' && restored.value.state === 'ready'
      ? Infinity
      : 0;
  },
  settlingMs: () => 0,
};

const rolloutRule: RetentionRule<Rollout> = {
  retentionMs(earlier, restored) {
    if (differsInExistence(earlier, restored)) {
      return restored.isRewritten ? 0 : REWRITE_MS;
    }
    if (restored.value === undefined) {
      return 0;
    }
    const {value} = earlier;
    if (value.target !== restored.value.target) {
      return restored.isRewritten ? 0 : REWRITE_MS;
    }
    return progressOf(value) > progressOf(restored.value) ? Infinity : 0;
  },
  settlingMs: () => 0,
};

/** Reports of entries that have ended are not written again. */
const crashRule: RetentionRule<CrashReport> = {
  retentionMs: ({value, isRemoved}, restored) =>
    !isRemoved && latestCrashMs(value) > latestCrashMs(restored.value)
      ? CRASH_TTL_MS
      : 0,
  settlingMs: () => 0,
};

const domainDrainRule: RetentionRule<DomainDrain> = {
  retentionMs: (earlier, restored) =>
    differsInExistence(earlier, restored) && !restored.isRewritten
      ? REWRITE_MS
      : 0,
  settlingMs: () => 0,
};

/** The state in the store applies at once. */
export const noRetention: RetentionRule<unknown> = {
  retentionMs: () => 0,
  settlingMs: () => 0,
};

/** Rules by kind of object. */
export const retentionRules: {
  readonly [K in MirrorKind]: RetentionRule<MirroredValues[K]>;
} = {
  policy: policyRule,
  endpoints: endpointRule,
  rollouts: rolloutRule,
  crashes: crashRule,
  domainDrains: domainDrainRule,
};

/** Whether the object exists in only one of the two states. */
function differsInExistence<T>(
  {isRemoved}: EarlierState<T>,
  {value}: RestoredState<T>,
): boolean {
  return isRemoved !== (value === undefined);
}

function progressOf(rollout: Rollout): number {
  const state = currentRolloutState(rollout);
  return state === undefined ? 0 : ROLLOUT_PROGRESS[state];
}

function latestCrashMs(report: CrashReport | undefined): number {
  return Math.max(-Infinity, ...(report?.crashes.map(({atMs}) => atMs) ?? []));
}
