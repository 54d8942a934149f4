/** Moves a stream away from an endpoint that leaves, in time. */
import {sleep, type Clock, type Disposable} from '@skylarkfield/base';
import type {AttemptStop} from './attemptStop.js';
import type {StreamPlace} from './contracts.js';
import type {MoveCosts} from './moveCosts.js';
import {prepareMove} from './movePlan.js';

export interface LeavingMoveOptions {
  readonly clock: Clock;
  readonly costs: MoveCosts;
  readonly place: StreamPlace;
  readonly attempt: string;
  readonly stop: AttemptStop;
  /** Milliseconds until the answer's end, undefined when not known. */
  remainingMs(): number | undefined;
  /** The move is being prepared now. */
  preparing(): void;
  takePlace(): StreamPlace;
}

/** Time that a move gets at least, and as a part of the notice. */
const MIN_MOVE_MS = 1000;
const MOVE_SHARE = 0.4;
/** Part of the remaining time within which a stream may simply end there. */
const FINISH_SHARE = 0.7;
/** Time a leaving endpoint is thought to have when nobody said. */
const ASSUMED_NOTICE_MS = 2000;
/** Wait before a stream that should end in time is looked at again. */
const RECHECK_MS = 100;

/**
 * Follows the endpoint's leaving until disposed. The move comes as late as is
 * safe: many answers end before that and need none.
 *
 * @example
 * owned.add(followLeaving({clock, costs, place, attempt, stop, ...hooks}));
 */
export function followLeaving(options: LeavingMoveOptions): Disposable {
  const {leaving} = options.place;
  // Preparing ends with an error only when the attempt is over.
  const onLeaving = () => void move(options).catch(() => {});
  if (leaving.aborted) {
    onLeaving();
  }
  leaving.addEventListener('abort', onLeaving, {once: true});
  return {dispose: () => leaving.removeEventListener('abort', onLeaving)};
}

async function move(options: LeavingMoveOptions): Promise<void> {
  const {clock, costs, place, attempt, stop, takePlace} = options;
  const goneAtMs = place.goneAt?.() ?? clock.now() + ASSUMED_NOTICE_MS;
  await untilDue(options, goneAtMs);
  options.preparing();
  const to = await prepareMove({
    clock,
    costs,
    old: place,
    attempt,
    goneAtMs,
    takePlace,
    signal: stop.signal,
  });
  if (stop.reason !== undefined) {
    to.place.finish({outcome: 'cancelled', latencyMs: 0});
    return;
  }
  stop.stop({type: 'moved', to});
}

async function untilDue(
  {clock, stop, remainingMs}: LeavingMoveOptions,
  goneAtMs: number,
): Promise<void> {
  const noticeMs = Math.max(0, goneAtMs - clock.now());
  const dueMs = goneAtMs - Math.max(MIN_MOVE_MS, noticeMs * MOVE_SHARE);
  await sleep(clock, dueMs - clock.now(), stop.signal);
  for (;;) {
    const neededMs = remainingMs() ?? Number.POSITIVE_INFINITY;
    if (neededMs >= (goneAtMs - clock.now()) * FINISH_SHARE) {
      return;
    }
    await sleep(clock, RECHECK_MS, stop.signal);
  }
}
