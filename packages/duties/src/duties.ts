/** All duties that one process competes for. */
import {
  rendezvousOrder,
  silentLogger,
  toDisposable,
  type Clock,
  type DecisionLog,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import {startContest, type Contest} from './contest.js';
import type {Duties, DutyName, Tenure} from './contracts.js';
import {defaultLeaseTiming, type LeaseTiming} from './lease.js';

/** Members that compete for one duty; more would only look at the lease more often. */
const CANDIDATES_PER_DUTY = 3;

/**
 * Makes the duties of a process.
 *
 * Only a few members compete for each duty, chosen by rendezvous hashing: the
 * calls for leases then don't grow with the fleet, and the duties spread over
 * it. Whether two processes ever hold a duty does not depend on that choice.
 *
 * @example
 * const duties = createDuties({clock, random, store, self: {id: 'a1', incarnation: 7}, members});
 * duties.compete('acceptance', tenure => startAcceptance(tenure));
 */
export function createDuties(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly self: {readonly id: string; readonly incarnation: number};
  /** Ids of the live members, this one included. */
  readonly members: () => readonly string[];
  /**
   * Whether this process may go on holding a duty that it holds; it hands it
   * over when not. Always, when not given.
   */
  readonly mayHold?: () => boolean;
  readonly log?: Logger;
  readonly decisions?: DecisionLog;
  readonly timing?: LeaseTiming;
}): Duties {
  const {clock, random, store, self, members, decisions} = options;
  const contests = new Map<DutyName, Contest>();

  function isCandidate(duty: DutyName): boolean {
    return rendezvousOrder(`duty/${duty}`, members())
      .slice(0, CANDIDATES_PER_DUTY)
      .includes(self.id);
  }

  function stop(duty: DutyName): Promise<void> {
    const contest = contests.get(duty);
    contests.delete(duty);
    return contest?.release() ?? Promise.resolve();
  }

  async function release(): Promise<void> {
    await Promise.all([...contests.keys()].map(stop));
  }

  return {
    compete(duty, start) {
      void stop(duty);
      contests.set(
        duty,
        startContest({
          duty,
          clock,
          random,
          store,
          self: `${self.id}.${self.incarnation}`,
          timing: options.timing ?? defaultLeaseTiming,
          log: options.log ?? silentLogger(),
          decisions,
          isCandidate: () => isCandidate(duty),
          mayHold: options.mayHold ?? (() => true),
          start,
        }),
      );
      return toDisposable(() => void stop(duty));
    },
    held(duty): Tenure | undefined {
      return contests.get(duty)?.tenure();
    },
    release,
    dump: () =>
      Object.fromEntries(
        [...contests.values()].map(contest => [contest.duty, contest.dump()]),
      ),
    dispose: () => void release(),
  };
}
