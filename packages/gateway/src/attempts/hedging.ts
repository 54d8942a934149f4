/**
 * Sends a request to a second endpoint while its first one is silent.
 *
 * A silent endpoint may be gone or only be paused, so its attempt goes on until
 * another one responds: giving it up first would lose the response if no other
 * endpoint can serve the request.
 */
import {
  createDisposableStore,
  type Clock,
  type Logger,
} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import type {AttemptResult} from './attemptResult.js';
import {createAttemptRace, type RaceEntry} from './attemptRace.js';
import type {CallerReply} from '../callers/callerReply.js';
import type {EndpointTarget} from '../forwarding/endpointTargets.js';
import type {ForwardedCall} from '../forwarding/forwardedCall.js';
import type {Progress} from '../forwarding/retryRules.js';
import type {Stall} from './stallTimer.js';

/** Where a call is sent: to an endpoint, or to another entry. */
export type Destination =
  | {readonly type: 'endpoint'; readonly target: EndpointTarget}
  | {readonly type: 'peer'; readonly peer: Member};

/** An attempt among those of its call that run at the same time. */
export interface RacingAttempt {
  readonly race: RaceEntry;
  /** Called repeatedly while the attempt has stalled. */
  onDidStall(stall: Stall): void;
}

/** The attempt that decides on the end of a call, or on its next attempt. */
export interface AttemptEnd {
  readonly destination: Destination;
  readonly result: AttemptResult;
}

export interface Hedging {
  /**
   * Runs an attempt, and a second one while it is silent, until all of them have
   * ended. At most one of them passes on events or returns a response.
   */
  run(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    destination: Destination,
  ): Promise<AttemptEnd>;
}

interface HedgingOptions {
  runAttempt(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    destination: Destination,
    racingAttempt: RacingAttempt,
  ): Promise<AttemptResult>;
  /**
   * Returns where a call whose only attempt has stalled is sent as well;
   * undefined if it is to wait. Consumes a retry if the call is to be sent.
   */
  chooseHedge(
    call: ForwardedCall,
    progress: Progress,
    stall: Stall,
  ): Destination | undefined;
  /** Whether the destination responds to others. Must not reject. */
  isResponding(call: ForwardedCall, destination: Destination): Promise<boolean>;
  readonly clock: Clock;
  readonly log: Logger;
}

/** An attempt that runs. */
interface Runner {
  readonly destination: Destination;
  readonly entry: RaceEntry;
}

/**
 * Time for which two endpoints may work on one stream if both of them respond,
 * in milliseconds. An endpoint that does not respond would not notice the end of
 * its attempt either.
 */
const MAX_OVERLAP_MS = 350;

/**
 * Time after which an endpoint that has not responded is asked again whether it
 * responds, in milliseconds.
 */
const RESPONSE_CHECK_INTERVAL_MS = 30;

/**
 * Time for which an endpoint's own error is held back while another attempt is
 * silent, in milliseconds.
 */
const ERROR_GRACE_MS = 300;

/**
 * Creates the hedging of one entry.
 *
 * @example
 * const {destination, result} = await hedging.run(call, reply, progress,
 *   {type: 'endpoint', target});
 */
export function createHedging(options: HedgingOptions): Hedging {
  return {
    run: (call, reply, progress, destination) =>
      runHedged(options, call, reply, progress, destination),
  };
}

async function runHedged(
  {runAttempt, chooseHedge, isResponding, clock, log}: HedgingOptions,
  call: ForwardedCall,
  reply: CallerReply,
  progress: Progress,
  firstDestination: Destination,
): Promise<AttemptEnd> {
  const race = createAttemptRace();
  const runners = new Set<Runner>();
  const timers = createDisposableStore();
  let end: AttemptEnd | undefined;

  function start(destination: Destination): Runner {
    const runner = {destination, entry: race.enter()};
    runners.add(runner);
    const attempt = finish(runner);
    // Awaited only once the attempts before it have ended.
    attempt.catch(() => {});
    pending.push(attempt);
    return runner;
  }

  async function finish(runner: Runner): Promise<void> {
    const {destination, entry} = runner;
    const result = await runAttempt(call, reply, progress, destination, {
      race: entry,
      onDidStall: stall => hedge(runner, stall),
    });
    runners.delete(runner);
    const isFinal = isAnswer(result) || !isAnswer(end?.result);
    if (entry.isSuperseded() || !isFinal) {
      return;
    }
    end = {destination, result};
    if (isAnswer(result) && runners.size > 0 && !reply.hasBegun()) {
      timers.add(clock.after(ERROR_GRACE_MS, entry.lead));
    }
  }

  function hedge(stalledRunner: Runner, stall: Stall): void {
    if (runners.size !== 1) {
      return;
    }
    const destination = chooseHedge(call, progress, stall);
    if (destination === undefined) {
      return;
    }
    log.info(
      {
        request: call.attemptId,
        silent: nameOf(stalledRunner.destination),
        to: nameOf(destination),
        silentMs: Math.round(stall.silentMs),
      },
      'request hedged',
    );
    const hedgeRunner = start(destination);
    if (call.route.kind === 'streaming') {
      boundOverlap(stalledRunner, hedgeRunner);
    }
  }

  /**
   * Ends the stalled attempt if its endpoint only leaves this request waiting, at
   * once or after a silence, while the other attempt runs.
   */
  function boundOverlap(stalledRunner: Runner, hedgeRunner: Runner): void {
    const askedAt = clock.now();
    const isOver = () =>
      !runners.has(stalledRunner) || !runners.has(hedgeRunner);
    void isResponding(call, stalledRunner.destination).then(isAnswered => {
      if (isOver()) {
        return;
      }
      if (!isAnswered) {
        timers.add(
          clock.after(RESPONSE_CHECK_INTERVAL_MS, () =>
            boundOverlap(stalledRunner, hedgeRunner),
          ),
        );
        return;
      }
      const remainingMs = askedAt + MAX_OVERLAP_MS - clock.now();
      timers.add(
        clock.after(Math.max(0, remainingMs), () => {
          if (!isOver()) {
            hedgeRunner.entry.lead();
          }
        }),
      );
    });
  }

  const pending: Promise<void>[] = [];
  start(firstDestination);
  try {
    // The list may grow while an attempt runs.
    for (const attempt of pending) {
      await attempt;
    }
  } finally {
    timers.dispose();
  }
  if (end === undefined) {
    throw new Error('all attempts of a call are superseded');
  }
  return end;
}

/** Whether the endpoint answered, so that a later failure counts for less. */
function isAnswer(result: AttemptResult | undefined): boolean {
  return result?.type === 'streamed' || result?.type === 'answered';
}

function nameOf(destination: Destination): string {
  return destination.type === 'endpoint'
    ? destination.target.choice.endpoint
    : destination.peer.id;
}
