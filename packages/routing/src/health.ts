/** Counts how an endpoint's attempts go and decides when it is put aside. */
import type {Clock, Random} from '@skylarkfield/base';
import type {AttemptResult} from '@skylarkfield/endpoints';
import {createHealthStates, type HealthState} from './healthMachine.js';

export interface Health {
  readonly state: HealthState;
  /** True when the endpoint may get a request now. */
  admits(): boolean;
  /** True when a request should go there now to see whether it has recovered. */
  wantsProbe(): boolean;
  noteSent(): void;
  /** Notes a result; `slowness` is its latency relative to the expected one. */
  note(outcome: AttemptResult['outcome'], slowness: number): void;
  /** A load report has come from it. */
  noteReport(): void;
  eject(): void;
  /** Its failure domain looks lost: one request at a time until one goes well. */
  doubt(): void;
  leave(): void;
  readonly figures: HealthFigures;
}

/** What the judgement of an endpoint rests on. */
export interface HealthFigures {
  readonly failuresInRow: number;
  readonly unreachableInRow: number;
  /** Smoothed share of failed attempts. */
  readonly failureRate: number;
  /** Smoothed latency relative to the expected one. */
  readonly slowness: number;
  /** Attempts noted since it was last put aside. */
  readonly samples: number;
}

const RATE_WEIGHT = 0.1;
/** One very late answer counts no more than this. */
const MAX_SLOWNESS = 20;
const FIRST_EJECTION_MS = 1500;
const MAX_EJECTION_MS = 45_000;
/** Successes in a row that end probing. */
const PROBE_SUCCESSES = 2;
/** Results in a row that go well before the next ejection is short again. */
const FORGIVEN_AFTER = 200;

/**
 * Makes the health of an endpoint that is thought to be well.
 *
 * @example
 * const health = createHealth({clock, random, recoversByReport: false});
 * health.note('failed', 1);
 */
export function createHealth(options: {
  readonly clock: Clock;
  readonly random: Random;
  /** For plain services, whose calls may not be used as probes: a load report ends probing. */
  readonly recoversByReport: boolean;
}): Health {
  const {clock, random, recoversByReport} = options;
  const states = createHealthStates();
  let probesOut = 0;
  let successesInRow = 0;
  let ejections = 0;
  let ejectedUntilMs = 0;
  let figures = freshFigures();

  function freshFigures(): {-readonly [K in keyof HealthFigures]: number} {
    return {
      failuresInRow: 0,
      unreachableInRow: 0,
      failureRate: 0,
      slowness: 1,
      samples: 0,
    };
  }

  function wake() {
    if (states.current === 'ejected' && clock.now() >= ejectedUntilMs) {
      states.send('probe');
      probesOut = 0;
      successesInRow = 0;
    }
  }

  function eject() {
    if (states.current === 'ejected' || states.current === 'leaving') {
      return;
    }
    const spanMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** ejections,
    );
    // Entries eject at the same time; spread, they do not probe in one wave.
    ejectedUntilMs = clock.now() + spanMs * (0.75 + random.next() / 2);
    ejections += 1;
    figures = freshFigures();
    states.send('eject');
  }

  function recover() {
    states.send('recover');
    figures = freshFigures();
  }

  function noteSuccess(slowness: number) {
    successesInRow += 1;
    figures.failuresInRow = 0;
    figures.unreachableInRow = 0;
    figures.failureRate *= 1 - RATE_WEIGHT;
    const seen = Math.min(slowness, MAX_SLOWNESS);
    figures.slowness += (seen - figures.slowness) * RATE_WEIGHT;
    if (successesInRow >= FORGIVEN_AFTER) {
      ejections = 0;
    }
    if (states.current === 'probing' && successesInRow >= PROBE_SUCCESSES) {
      recover();
    }
  }

  function noteFailure(isUnreachable: boolean) {
    successesInRow = 0;
    figures.failuresInRow += 1;
    figures.unreachableInRow = isUnreachable ? figures.unreachableInRow + 1 : 0;
    figures.failureRate += (1 - figures.failureRate) * RATE_WEIGHT;
    if (states.current === 'probing') {
      eject();
    }
  }

  const handlers: Record<
    AttemptResult['outcome'],
    ((slowness: number) => void) | undefined
  > = {
    ok: noteSuccess,
    failed: () => noteFailure(false),
    unreachable: () => noteFailure(true),
    overloaded: undefined,
    cancelled: undefined,
  };

  return {
    get state() {
      wake();
      return states.current;
    },
    admits() {
      wake();
      if (states.current === 'probing') {
        return probesOut === 0;
      }
      return states.current === 'live';
    },
    wantsProbe() {
      wake();
      return (
        states.current === 'probing' && probesOut === 0 && !recoversByReport
      );
    },
    noteSent() {
      probesOut += 1;
    },
    note(outcome, slowness) {
      probesOut = Math.max(0, probesOut - 1);
      const handler = handlers[outcome];
      if (handler !== undefined) {
        figures.samples += 1;
        handler(slowness);
      }
    },
    noteReport() {
      wake();
      if (recoversByReport && states.current === 'probing') {
        recover();
      }
    },
    eject,
    doubt() {
      states.send('doubt');
      successesInRow = PROBE_SUCCESSES - 1;
    },
    leave: () => states.send('leave'),
    get figures() {
      return figures;
    },
  };
}
