/**
 * Leader election of one process for one duty: reads the lease, acquires it
 * when it is free, renews it and releases it.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import {
  isServingError,
  toDisposable,
  type Clock,
  type DecisionLog,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {
  Freshness,
  ObjectStore,
  StoredObject,
} from '@skylarkfield/providers';
import type {DutyName, DutyTerm} from './contracts.js';
import {
  LEASE_KIND,
  leaseCondition,
  parseLease,
  type Lease,
  type LeaseTiming,
} from './lease.js';
import {createLeaseObserver} from './leaseObserver.js';

/** `standby`: not a candidate. `watching`: another process holds the lease. */
export type LeaseElectionState =
  | 'standby'
  | 'watching'
  | 'acquiring'
  | 'held'
  | 'releasing'
  | 'ended';

/** Participation of this process in the election for one duty. */
export interface LeaseElection {
  readonly duty: DutyName;
  state(): LeaseElectionState;
  currentTerm(): DutyTerm | undefined;
  /** Ends the term, releases the lease and stops competing. */
  resign(): Promise<void>;
  dump(): {
    readonly state: LeaseElectionState;
    readonly fencing: number;
    readonly validForMs: number;
  };
}

export interface LeaseElectionOptions {
  readonly duty: DutyName;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  /** Id of this process with its incarnation. */
  readonly self: string;
  readonly timing: LeaseTiming;
  readonly log: Logger;
  readonly decisions?: DecisionLog;
  /** Whether this process currently competes for the duty. */
  readonly isCandidate: () => boolean;
  /** Whether this process may keep holding the duty. */
  readonly mayHold: () => boolean;
  readonly start: (term: DutyTerm) => Disposable;
}

interface HeldLease {
  readonly fencing: number;
  readonly term: DutyTerm;
  readonly work: Disposable;
  readonly controller: AbortController;
}

/**
 * Starts competing for a duty.
 *
 * @example
 * const election = startLeaseElection({...options, start: accept});
 */
export function startLeaseElection(
  options: LeaseElectionOptions,
): LeaseElection {
  const {duty, clock, random, store, self, timing, log} = options;
  const service = interpret(createElectionMachine(), () => {});
  const observer = createLeaseObserver(clock, timing, self);
  let leaseObject: StoredObject | undefined;
  let heldLease: HeldLease | undefined;
  /** Monotonic and wall-clock milliseconds until which the lease is held. */
  let validUntil = 0;
  let validUntilWall = 0;
  let roundTimer: Disposable = toDisposable(() => {});
  let expiryTimer: Disposable = toDisposable(() => {});
  let isResigned = false;
  /** Monotonic time before which a handed-over duty is not reacquired. */
  let acquireNotBefore = -Infinity;

  function currentState(): LeaseElectionState {
    return service.machine.current as LeaseElectionState;
  }

  /**
   * Checks the wall clock too: the monotonic clock of a suspended host may
   * stop, so that on resume a lease that expired long ago would look valid.
   */
  function isValid(): boolean {
    return clock.now() < validUntil && clock.wall() < validUntilWall;
  }

  function extendValidity(sentAt: number, sentAtWall: number): void {
    const validityMs = timing.durationMs - timing.marginMs;
    validUntil = sentAt + validityMs;
    validUntilWall = sentAtWall + validityMs;
    expiryTimer.dispose();
    expiryTimer = clock.after(validUntil - clock.now(), () =>
      loseLease('the lease expired before it was renewed'),
    );
  }

  async function runRound(): Promise<void> {
    try {
      await (heldLease === undefined
        ? tryAcquire()
        : renewOrHandOver(heldLease));
    } catch (error) {
      log.debug({err: error, duty}, 'lease election round failed');
    }
    scheduleRound();
  }

  function scheduleRound(): void {
    if (isResigned) {
      return;
    }
    const intervalMs =
      heldLease === undefined ? timing.pollMs : timing.renewEveryMs;
    roundTimer.dispose();
    roundTimer = clock.after(intervalMs * (0.75 + random.next() / 2), () => {
      void runRound();
    });
  }

  async function tryAcquire(): Promise<void> {
    if (!options.isCandidate() || clock.now() < acquireNotBefore) {
      service.send('stepBack');
      return;
    }
    service.send('compete');
    // Most polls find the lease held; a free lease is reread as `latest`.
    if ((await readIsFree('recent')) && (await readIsFree('latest'))) {
      await acquire();
    }
  }

  async function readIsFree(freshness: Freshness): Promise<boolean> {
    leaseObject = await store.get(LEASE_KIND, duty, undefined, freshness);
    observer.recordRead(leaseObject);
    return !isResigned && observer.isFree();
  }

  async function acquire(): Promise<void> {
    service.send('acquire');
    const previous = parseLease(leaseObject);
    try {
      const fencing = (previous?.fencing ?? (await maxPastFencing())) + 1;
      await writeLease({fencing, sequence: 0, isReleased: false});
      if (isResigned) {
        await releaseLease(fencing);
        return;
      }
      beginTerm(fencing, previous);
    } catch (error) {
      service.send('fail');
      throw error;
    }
  }

  /**
   * Returns an upper bound of all earlier fencing tokens, for a missing lease
   * object. It may have been removed, and endpoints would reject the new
   * holder's orders as stale if tokens restarted at 1. Store versions rise at
   * least as fast as fencing tokens.
   */
  async function maxPastFencing(): Promise<number> {
    const {version} = await store.list(LEASE_KIND);
    return version;
  }

  /** Writes the lease if unchanged; it is valid from the start of the call. */
  async function writeLease(
    change: Pick<Lease, 'fencing' | 'sequence' | 'isReleased'>,
  ): Promise<void> {
    const sentAt = clock.now();
    const sentAtWall = clock.wall();
    const lease: Lease = {
      ...change,
      holder: self,
      durationMs: timing.durationMs,
    };
    const condition = leaseCondition(leaseObject);
    leaseObject = await store.put(LEASE_KIND, duty, lease, condition);
    if (!change.isReleased) {
      extendValidity(sentAt, sentAtWall);
    }
  }

  function beginTerm(fencing: number, previous: Lease | undefined): void {
    const controller = new AbortController();
    const term: DutyTerm = {
      duty,
      fencing,
      acquiredAt: clock.now(),
      isValid: () => heldLease?.fencing === fencing && isValid(),
      signal: controller.signal,
    };
    if (!isValid()) {
      // The reply arrived after the lease had expired.
      service.send('fail');
      return;
    }
    service.send('acquired');
    const why =
      previous === undefined
        ? 'no process held the lease'
        : describeVacancy(previous);
    options.decisions?.note('duties', duty, 'take', why, {fencing});
    // Set before `start` runs, which may check whether the term is valid.
    heldLease = {fencing, term, controller, work: toDisposable(() => {})};
    heldLease = {...heldLease, work: options.start(term)};
  }

  async function renewOrHandOver(held: HeldLease): Promise<void> {
    await (options.mayHold() ? renew(held) : handOver(held));
  }

  /**
   * Releases the duty while this process keeps running, and does not reacquire
   * it for one lease duration. Otherwise platforms that do not check fencing
   * tokens could get orders from two holders alternately.
   */
  async function handOver({fencing}: HeldLease): Promise<void> {
    acquireNotBefore = clock.now() + timing.durationMs + timing.marginMs;
    endTerm();
    service.send('lose');
    options.decisions?.note(
      'duties',
      duty,
      'hand over',
      'this process is no longer eligible to hold the lease',
      {fencing},
    );
    await releaseLease(fencing);
  }

  async function renew({fencing}: HeldLease): Promise<void> {
    const lease = parseLease(leaseObject);
    try {
      await writeLease({
        fencing,
        sequence: (lease?.sequence ?? 0) + 1,
        isReleased: false,
      });
    } catch (error) {
      if (isServingError(error, 'version-conflict')) {
        loseLease('another process changed the lease');
        return;
      }
      if (isServingError(error, 'outcome-unknown')) {
        await confirmRenewal(fencing);
      }
    }
  }

  /** Reads the lease after a renewal with an unknown outcome. */
  async function confirmRenewal(fencing: number): Promise<void> {
    const stored = await store.get(LEASE_KIND, duty);
    const lease = parseLease(stored);
    if (lease?.holder !== self || lease.fencing !== fencing) {
      loseLease('another process holds the lease');
      return;
    }
    leaseObject = stored;
  }

  function loseLease(why: string): void {
    if (heldLease === undefined) {
      return;
    }
    const {fencing} = heldLease;
    endTerm();
    service.send('lose');
    options.decisions?.note('duties', duty, 'lose', why, {fencing});
  }

  function endTerm(): void {
    const endedLease = heldLease;
    heldLease = undefined;
    validUntil = 0;
    expiryTimer.dispose();
    endedLease?.controller.abort();
    endedLease?.work.dispose();
  }

  async function releaseLease(fencing: number): Promise<void> {
    try {
      await writeLease({fencing, sequence: 0, isReleased: true});
    } catch (error) {
      // The lease expires anyway; the successor only waits longer.
      log.info(
        {err: error, duty},
        'failed to release the lease; it expires by itself',
      );
    }
  }

  void runRound();
  return {
    duty,
    state: currentState,
    currentTerm: () => heldLease?.term,
    async resign() {
      isResigned = true;
      roundTimer.dispose();
      const held = heldLease;
      endTerm();
      if (held !== undefined) {
        service.send('release');
        await releaseLease(held.fencing);
      }
      service.send('end');
    },
    dump: () => ({
      state: currentState(),
      fencing: heldLease?.fencing ?? parseLease(leaseObject)?.fencing ?? 0,
      validForMs: Math.max(0, validUntil - clock.now()),
    }),
  };
}

function describeVacancy(previous: Lease): string {
  return previous.isReleased
    ? `${previous.holder} released the lease`
    : `the lease of ${previous.holder} expired`;
}

function createElectionMachine() {
  const endTransitions = [transition('end', 'ended')] as const;
  return createMachine('standby', {
    standby: state(transition('compete', 'watching'), ...endTransitions),
    watching: state(
      transition('stepBack', 'standby'),
      transition('acquire', 'acquiring'),
      ...endTransitions,
    ),
    acquiring: state(
      transition('acquired', 'held'),
      transition('fail', 'watching'),
      ...endTransitions,
    ),
    held: state(
      transition('lose', 'watching'),
      transition('release', 'releasing'),
      ...endTransitions,
    ),
    releasing: state(...endTransitions),
    ended: state(),
  });
}
