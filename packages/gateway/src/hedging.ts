/**
 * Sends a request to a second endpoint while its first one is silent.
 *
 * A silent endpoint may be gone or only be paused, so its attempt goes on until
 * another one responds: giving it up first would lose the response if no other
 * endpoint can serve the request.
 */
import type {Logger} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import type {AttemptResult} from './attempt.js';
import {createAttemptRace, type RaceEntry} from './attemptRace.js';
import type {CallerReply} from './callerReply.js';
import type {EndpointTarget} from './endpointAttempts.js';
import type {ForwardedCall} from './forwardedCall.js';
import type {Progress} from './retryRules.js';
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

/**
 * Creates the hedging of one entry.
 *
 * @example
 * const {destination, result} = await hedging.run(call, reply, progress,
 *   {type: 'endpoint', target});
 */
export function createHedging(options: {
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
  readonly log: Logger;
}): Hedging {
  const {runAttempt, chooseHedge, log} = options;
  return {
    async run(call, reply, progress, firstDestination) {
      const race = createAttemptRace();
      let runningCount = 0;
      let end: AttemptEnd | undefined;

      async function start(destination: Destination): Promise<void> {
        const entry = race.enter();
        runningCount += 1;
        const result = await runAttempt(call, reply, progress, destination, {
          race: entry,
          onDidStall: stall => hedge(destination, stall),
        });
        entry.dispose();
        runningCount -= 1;
        if (
          !entry.isSuperseded() &&
          (isAnswer(result) || !isAnswer(end?.result))
        ) {
          end = {destination, result};
        }
      }

      function hedge(stalledDestination: Destination, stall: Stall): void {
        if (runningCount !== 1) {
          return;
        }
        const destination = chooseHedge(call, progress, stall);
        if (destination === undefined) {
          return;
        }
        log.info(
          {
            request: call.attemptId,
            silent: nameOf(stalledDestination),
            to: nameOf(destination),
            silentMs: Math.round(stall.silentMs),
          },
          'request hedged',
        );
        pending.push(start(destination));
      }

      const pending = [start(firstDestination)];
      // The list may grow while an attempt runs.
      for (const attempt of pending) {
        await attempt;
      }
      return end!;
    },
  };
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
