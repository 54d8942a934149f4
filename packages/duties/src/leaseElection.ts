/**
 * Leader election of one process for one duty: reads the lease, acquires it
 * when it is free, renews it and releases it.
 */
import {interpret} from 'robot3';
import {
  isServingError,
  toDisposable,
  type Clock,
  type DecisionLog,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {Freshness, ObjectStore} from '@skylarkfield/providers';
import type {DutyName, DutyTerm} from './contracts.js';
import type {Lease, LeaseTiming} from './lease.js';
import {createElectionMachine} from './leaseElectionMachine.js';
import {createLeaseRecord} from './leaseRecord.js';
import type {StoreReturns} from './storeReturns.js';

/**
 * `standby`: this process is no candidate. `watching`: a candidate that waits
 * until the lease is free. `held`: this process holds the lease.
 */
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
    /**
     * Fencing token of the held lease, or else of the lease that this process
     * last read or wrote; 0 if there is none.
     */
    readonly fencing: number;
    /** Milliseconds until the lease expires; 0 if it is not held. */
    readonly validForMs: number;
  };
}

export interface LeaseElectionOptions {
  readonly duty: DutyName;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly returns: StoreReturns;
  /** Id of this process with its incarnation. */
  readonly self: string;
  readonly timing: LeaseTiming;
  readonly log: Logger;
  readonly decisions?: DecisionLog;
  /** Whether this process currently competes for the duty. */
  readonly isCandidate: () => boolean;
  /** Whether this process may keep holding the duty. */
  readonly mayHold: () => boolean;
  /** Starts the work of the duty; the result is disposed when the term ends. */
  readonly start: (term: DutyTerm) => Disposable;
}

/** Lease that this process holds, and its term. */
interface HeldLease {
  readonly fencing: number;
  readonly term: DutyTerm;
  readonly work: Disposable;
  readonly abortController: AbortController;
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
  const {duty, clock, random, returns, timing, log} = options;
  const interpreter = interpret(createElectionMachine(), () => {});
  const leaseRecord = createLeaseRecord(options);
  let heldLease: HeldLease | undefined;
  /** Monotonic and wall-clock milliseconds until which the lease is valid. */
  let validUntil = 0;
  let validUntilWallClock = 0;
  let roundTimer: Disposable = toDisposable(() => {});
  let expiryTimer: Disposable = toDisposable(() => {});
  let isResigned = false;
  /**
   * Monotonic milliseconds before which a handed-over duty is not reacquired.
   */
  let acquireNotBefore = -Infinity;

  function currentState(): LeaseElectionState {
    return interpreter.machine.current as LeaseElectionState;
  }

  /**
   * Returns whether the lease has not expired. Checks the wall clock too: the
   * monotonic clock of a suspended host may stop, so that on resume a lease
   * that expired long ago would look valid.
   */
  function isValid(): boolean {
    return clock.now() < validUntil && clock.wall() < validUntilWallClock;
  }

  function extendValidity(
    writeStartedAt: number,
    writeStartedAtWallClock: number,
  ): void {
    const validityMs = timing.durationMs - timing.marginMs;
    validUntil = writeStartedAt + validityMs;
    validUntilWallClock = writeStartedAtWallClock + validityMs;
    expiryTimer.dispose();
    expiryTimer = clock.after(validUntil - clock.now(), () =>
      loseLease('the lease expired before it was renewed'),
    );
  }

  async function runRound(): Promise<void> {
    // A candidate waits from when its process learned of a return, so that it
    // has to look also in rounds that make no call.
    returns.learnedAt();
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
      heldLease === undefined ? timing.pollIntervalMs : timing.renewIntervalMs;
    roundTimer.dispose();
    roundTimer = clock.after(intervalMs * (0.75 + random.next() / 2), () => {
      void runRound();
    });
  }

  async function tryAcquire(): Promise<void> {
    if (!options.isCandidate() || clock.now() < acquireNotBefore) {
      interpreter.send('stepBack');
      return;
    }
    interpreter.send('compete');
    // Most polls find the lease held, so a `recent` read comes first. A lease
    // that appears free is read again as `latest`.
    if (
      (await readAndCheckIsFree('recent')) &&
      (await readAndCheckIsFree('latest'))
    ) {
      await acquire();
    }
  }

  async function readAndCheckIsFree(freshness: Freshness): Promise<boolean> {
    const isFree = await leaseRecord.read(freshness);
    return !isResigned && isFree;
  }

  async function acquire(): Promise<void> {
    interpreter.send('acquire');
    const previousLease = leaseRecord.lease();
    try {
      const fencing = await leaseRecord.nextFencing();
      await writeLease({fencing, sequence: 0, isReleased: false});
      if (isResigned) {
        await releaseLease(fencing);
        return;
      }
      await beginTerm(fencing, previousLease);
    } catch (error) {
      interpreter.send('fail');
      throw error;
    }
  }

  /**
   * Writes the lease if the stored object is unchanged since the last read. The
   * lease is valid from the start of the write.
   */
  async function writeLease(
    leaseFields: Pick<Lease, 'fencing' | 'sequence' | 'isReleased'>,
  ): Promise<void> {
    const writeStartedAt = clock.now();
    const writeStartedAtWallClock = clock.wall();
    await leaseRecord.write(leaseFields);
    if (!leaseFields.isReleased) {
      extendValidity(writeStartedAt, writeStartedAtWallClock);
    }
  }

  async function beginTerm(
    fencing: number,
    previousLease: Lease | undefined,
  ): Promise<void> {
    const abortController = new AbortController();
    const term: DutyTerm = {
      duty,
      fencing,
      acquiredAt: clock.now(),
      isValid: () => heldLease?.fencing === fencing && isValid(),
      signal: abortController.signal,
    };
    if (!isValid()) {
      // The reply to the write arrived after the lease had expired.
      interpreter.send('fail');
      return;
    }
    interpreter.send('acquired');
    const reason =
      previousLease === undefined
        ? 'no process held the lease'
        : describeVacancy(previousLease);
    options.decisions?.recordDecision('duties', duty, 'take', reason, {
      fencing,
    });
    // Set before `start` is called, as it may check whether the term is valid.
    heldLease = {fencing, term, abortController, work: toDisposable(() => {})};
    try {
      heldLease = {...heldLease, work: options.start(term)};
    } catch (error) {
      log.error(
        {err: error, duty, fencing},
        'failed to start the work of a duty',
      );
      await handOver(heldLease, 'its work could not be started');
    }
  }

  async function renewOrHandOver(currentLease: HeldLease): Promise<void> {
    await (options.mayHold()
      ? renew(currentLease)
      : handOver(
          currentLease,
          'this process is no longer eligible to hold the lease',
        ));
  }

  /**
   * Releases the duty while this process keeps running, and does not reacquire
   * it for one lease duration. If the process reacquired the duty at once,
   * endpoints that do not check fencing tokens could get commands from two
   * holders alternately.
   */
  async function handOver({fencing}: HeldLease, reason: string): Promise<void> {
    acquireNotBefore = clock.now() + timing.durationMs + timing.marginMs;
    endTerm();
    interpreter.send('lose');
    options.decisions?.recordDecision('duties', duty, 'hand over', reason, {
      fencing,
    });
    await releaseLease(fencing);
  }

  async function renew({fencing}: HeldLease): Promise<void> {
    try {
      await writeRenewal(fencing);
    } catch (error) {
      if (
        isServingError(error, 'version-conflict') ||
        isServingError(error, 'outcome-unknown')
      ) {
        await confirmLease(fencing);
      }
    }
  }

  async function writeRenewal(fencing: number): Promise<void> {
    const sequence = (leaseRecord.lease()?.sequence ?? 0) + 1;
    await writeLease({fencing, sequence, isReleased: false});
  }

  /**
   * Reads the lease after a renewal that failed or has an unknown outcome. Ends
   * the term if another process holds the lease. Writes the lease again if a
   * return of the store has taken it back: other candidates wait until it would
   * have expired.
   */
  async function confirmLease(fencing: number): Promise<void> {
    await leaseRecord.read('latest');
    if (heldLease?.fencing !== fencing || leaseRecord.isHeldWith(fencing)) {
      return;
    }
    if (!leaseRecord.isTakenBack(fencing) || !isValid()) {
      loseLease('another process changed the lease');
      return;
    }
    await writeRenewal(fencing);
  }

  function loseLease(reason: string): void {
    if (heldLease === undefined) {
      return;
    }
    const {fencing} = heldLease;
    endTerm();
    interpreter.send('lose');
    options.decisions?.recordDecision('duties', duty, 'lose', reason, {
      fencing,
    });
  }

  function endTerm(): void {
    const endedLease = heldLease;
    heldLease = undefined;
    validUntil = 0;
    expiryTimer.dispose();
    endedLease?.abortController.abort();
    endedLease?.work.dispose();
  }

  async function releaseLease(fencing: number): Promise<void> {
    try {
      await writeLease({fencing, sequence: 0, isReleased: true});
    } catch (error) {
      // The lease expires without a release; the successor only waits longer.
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
      const resignedLease = heldLease;
      endTerm();
      if (resignedLease !== undefined) {
        interpreter.send('release');
        await releaseLease(resignedLease.fencing);
      }
      interpreter.send('end');
    },
    dump: () => ({
      state: currentState(),
      fencing: heldLease?.fencing ?? leaseRecord.lease()?.fencing ?? 0,
      validForMs: Math.max(0, validUntil - clock.now()),
    }),
  };
}

function describeVacancy(previousLease: Lease): string {
  return previousLease.isReleased
    ? `${previousLease.holder} released the lease`
    : `the lease of ${previousLease.holder} expired`;
}
