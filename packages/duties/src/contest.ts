/**
 * One process's part in the contest for one duty: looks at the lease, takes it
 * when it is free, renews it and gives it up.
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
import type {DutyName, Tenure} from './contracts.js';
import {
  LEASE_KIND,
  leaseCondition,
  readLease,
  type Lease,
  type LeaseTiming,
} from './lease.js';
import {createLeaseObserver} from './leaseObserver.js';

/** `standby`: not among the candidates. `watching`: another holds it. */
export type ContestState =
  | 'standby'
  | 'watching'
  | 'acquiring'
  | 'held'
  | 'releasing'
  | 'ended';

/** This process's part in one duty. */
export interface Contest {
  readonly duty: DutyName;
  state(): ContestState;
  tenure(): Tenure | undefined;
  /** Ends the tenure and gives the lease up; later rounds do nothing. */
  release(): Promise<void>;
  dump(): {
    readonly state: ContestState;
    readonly fencing: number;
    readonly validForMs: number;
  };
}

export interface ContestOptions {
  readonly duty: DutyName;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  /** This process with its incarnation. */
  readonly self: string;
  readonly timing: LeaseTiming;
  readonly log: Logger;
  readonly decisions?: DecisionLog;
  /** Whether this process is among those that compete for the duty now. */
  readonly isCandidate: () => boolean;
  /** Whether this process may go on holding the duty. */
  readonly mayHold: () => boolean;
  readonly start: (tenure: Tenure) => Disposable;
}

interface Holding {
  readonly fencing: number;
  readonly tenure: Tenure;
  readonly work: Disposable;
  readonly controller: AbortController;
}

/**
 * Starts to compete.
 *
 * @example
 * const contest = startContest({duty: 'acceptance', ...parts, start: tenure => accept(tenure)});
 */
export function startContest(options: ContestOptions): Contest {
  const {duty, clock, random, store, self, timing, log} = options;
  const service = interpret(contestMachine(), () => {});
  const observer = createLeaseObserver(clock, timing, self);
  let object: StoredObject | undefined;
  let holding: Holding | undefined;
  /** Monotonic and wall milliseconds until which the lease is certainly ours. */
  let validUntil = 0;
  let validUntilWall = 0;
  let timer: Disposable = toDisposable(() => {});
  let expiry: Disposable = toDisposable(() => {});
  let isEnded = false;
  /** Monotonic milliseconds before which a duty that was handed over is not taken again. */
  let competesFrom = -Infinity;

  function current(): ContestState {
    return service.machine.current as ContestState;
  }

  /**
   * The wall clock is looked at too: a host that is suspended as a whole may
   * stop its monotonic clock, and the holder would wake with a lease that is
   * long gone and looks fresh.
   */
  function isValid(): boolean {
    return clock.now() < validUntil && clock.wall() < validUntilWall;
  }

  function extend(sentAt: number, sentAtWall: number): void {
    const spanMs = timing.durationMs - timing.marginMs;
    validUntil = sentAt + spanMs;
    validUntilWall = sentAtWall + spanMs;
    expiry.dispose();
    expiry = clock.after(validUntil - clock.now(), () =>
      lose('the lease ran out before it could be renewed'),
    );
  }

  async function round(): Promise<void> {
    try {
      await (holding === undefined ? look() : keep(holding));
    } catch (error) {
      log.debug({err: error, duty}, 'a lease round failed');
    }
    plan();
  }

  function plan(): void {
    if (isEnded) {
      return;
    }
    const spanMs = holding === undefined ? timing.pollMs : timing.renewEveryMs;
    timer.dispose();
    timer = clock.after(spanMs * (0.75 + random.next() / 2), () => {
      void round();
    });
  }

  async function look(): Promise<void> {
    if (!options.isCandidate() || clock.now() < competesFrom) {
      service.send('stepBack');
      return;
    }
    service.send('compete');
    // Most polls find the lease held; only one that does not is repeated with the latest state.
    if ((await isFreeBy('recent')) && (await isFreeBy('latest'))) {
      await acquire();
    }
  }

  async function isFreeBy(freshness: Freshness): Promise<boolean> {
    object = await store.get(LEASE_KIND, duty, undefined, freshness);
    observer.note(object);
    return !isEnded && observer.isFree();
  }

  async function acquire(): Promise<void> {
    service.send('acquire');
    const former = readLease(object);
    try {
      const fencing = (former?.fencing ?? (await fencingFloor())) + 1;
      await write({fencing, sequence: 0, isReleased: false});
      if (isEnded) {
        await giveUp(fencing);
        return;
      }
      begin(fencing, former);
    } catch (error) {
      service.send('fail');
      throw error;
    }
  }

  /**
   * A number that no earlier tenure can exceed, for a lease object that is not
   * there. Someone may have removed it, and counting from 1 again would make
   * endpoints refuse the new holder's orders as old. Store versions rise at
   * least as fast as fencing numbers.
   */
  async function fencingFloor(): Promise<number> {
    const {version} = await store.list(LEASE_KIND);
    return version;
  }

  /** Writes our lease on what was last read; the validity counts from before the call. */
  async function write(
    change: Pick<Lease, 'fencing' | 'sequence' | 'isReleased'>,
  ): Promise<void> {
    const sentAt = clock.now();
    const sentAtWall = clock.wall();
    const lease: Lease = {
      ...change,
      holder: self,
      durationMs: timing.durationMs,
    };
    const condition = leaseCondition(object);
    object = await store.put(LEASE_KIND, duty, lease, condition);
    if (!change.isReleased) {
      extend(sentAt, sentAtWall);
    }
  }

  function begin(fencing: number, former: Lease | undefined): void {
    const controller = new AbortController();
    const tenure: Tenure = {
      duty,
      fencing,
      acquiredAt: clock.now(),
      isValid: () => holding?.fencing === fencing && isValid(),
      signal: controller.signal,
    };
    if (!isValid()) {
      // The reply came after the lease had run out.
      service.send('fail');
      return;
    }
    service.send('acquired');
    const why = former === undefined ? 'nobody held it' : describe(former);
    options.decisions?.note('duties', duty, 'take', why, {fencing});
    // Set before the work starts: it may ask whether the tenure is valid.
    holding = {fencing, tenure, controller, work: toDisposable(() => {})};
    holding = {...holding, work: options.start(tenure)};
  }

  async function keep(held: Holding): Promise<void> {
    await (options.mayHold() ? renew(held) : handOver(held));
  }

  /**
   * Gives the duty to others while this process lives on. It does not take it
   * back before a lease's time is over: platforms that do not check fencing
   * numbers would see two holders act by turns.
   */
  async function handOver({fencing}: Holding): Promise<void> {
    competesFrom = clock.now() + timing.durationMs + timing.marginMs;
    end();
    service.send('lose');
    options.decisions?.note(
      'duties',
      duty,
      'hand over',
      'this process may not hold it',
      {fencing},
    );
    await giveUp(fencing);
  }

  async function renew({fencing}: Holding): Promise<void> {
    const lease = readLease(object);
    try {
      await write({
        fencing,
        sequence: (lease?.sequence ?? 0) + 1,
        isReleased: false,
      });
    } catch (error) {
      if (isServingError(error, 'version-conflict')) {
        lose('another process has changed the lease');
        return;
      }
      if (isServingError(error, 'outcome-unknown')) {
        await readBack(fencing);
      }
    }
  }

  /** A renewal whose outcome is unknown: go on from what is there now. */
  async function readBack(fencing: number): Promise<void> {
    const present = await store.get(LEASE_KIND, duty);
    const lease = readLease(present);
    if (lease?.holder !== self || lease.fencing !== fencing) {
      lose('another process holds the lease');
      return;
    }
    object = present;
  }

  function lose(why: string): void {
    if (holding === undefined) {
      return;
    }
    const {fencing} = holding;
    end();
    service.send('lose');
    options.decisions?.note('duties', duty, 'lose', why, {fencing});
  }

  function end(): void {
    const ended = holding;
    holding = undefined;
    validUntil = 0;
    expiry.dispose();
    ended?.controller.abort();
    ended?.work.dispose();
  }

  async function giveUp(fencing: number): Promise<void> {
    try {
      await write({fencing, sequence: 0, isReleased: true});
    } catch (error) {
      // The lease runs out by itself; a successor only waits longer.
      log.info({err: error, duty}, 'a lease was not given up');
    }
  }

  void round();
  return {
    duty,
    state: current,
    tenure: () => holding?.tenure,
    async release() {
      isEnded = true;
      timer.dispose();
      const held = holding;
      end();
      if (held !== undefined) {
        service.send('release');
        await giveUp(held.fencing);
      }
      service.send('end');
    },
    dump: () => ({
      state: current(),
      fencing: holding?.fencing ?? readLease(object)?.fencing ?? 0,
      validForMs: Math.max(0, validUntil - clock.now()),
    }),
  };
}

function describe(former: Lease): string {
  return former.isReleased
    ? `${former.holder} gave it up`
    : `the lease of ${former.holder} ran out`;
}

function contestMachine() {
  const endings = [transition('end', 'ended')] as const;
  return createMachine('standby', {
    standby: state(transition('compete', 'watching'), ...endings),
    watching: state(
      transition('stepBack', 'standby'),
      transition('acquire', 'acquiring'),
      ...endings,
    ),
    acquiring: state(
      transition('acquired', 'held'),
      transition('fail', 'watching'),
      ...endings,
    ),
    held: state(
      transition('lose', 'watching'),
      transition('release', 'releasing'),
      ...endings,
    ),
    releasing: state(...endings),
    ended: state(),
  });
}
