/** Lease elections of one process for all its duties. */
import {
  rendezvousOrder,
  createSilentLogger,
  toDisposable,
  type Clock,
  type DecisionLog,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import {startLeaseElection, type LeaseElection} from './leaseElection.js';
import type {DutyElections, DutyName, DutyTerm} from './contracts.js';
import {DEFAULT_LEASE_TIMING, type LeaseTiming} from './lease.js';
import {createStoreReturns} from './storeReturns.js';

/**
 * Number of candidates for each duty; more candidates would only add reads of
 * the lease.
 */
const CANDIDATES_PER_DUTY = 3;

/**
 * Creates the lease elections of a process.
 *
 * Rendezvous hashing selects a few candidates for each duty, so that lease
 * calls do not grow with the fleet and duties are spread over it. Mutual
 * exclusion does not depend on this selection.
 *
 * @example
 * const self = {id: 'a1', incarnation: 7};
 * const dutyElections = createDutyElections({self, clock, members, ...rest});
 * dutyElections.compete('acceptance', term => startAcceptance(term));
 */
export function createDutyElections(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly self: {readonly id: string; readonly incarnation: number};
  /** Returns the ids of the live members, including this process. */
  readonly members: () => readonly string[];
  /**
   * Returns whether this process may keep holding duties; if false, it hands
   * them over. By default always true.
   */
  readonly mayHold?: () => boolean;
  readonly log?: Logger;
  readonly decisions?: DecisionLog;
  readonly timing?: LeaseTiming;
}): DutyElections {
  const {clock, random, store, self, members, decisions} = options;
  const storeReturns = createStoreReturns(clock, store);
  const elections = new Map<DutyName, LeaseElection>();

  function isCandidate(duty: DutyName): boolean {
    return rendezvousOrder(`duty/${duty}`, members())
      .slice(0, CANDIDATES_PER_DUTY)
      .includes(self.id);
  }

  function stopElection(duty: DutyName): Promise<void> {
    const election = elections.get(duty);
    elections.delete(duty);
    return election?.resign() ?? Promise.resolve();
  }

  async function release(): Promise<void> {
    await Promise.all([...elections.keys()].map(stopElection));
  }

  return {
    storeReturns,
    compete(duty, start) {
      void stopElection(duty);
      elections.set(
        duty,
        startLeaseElection({
          duty,
          clock,
          random,
          store,
          returns: storeReturns,
          self: `${self.id}.${self.incarnation}`,
          timing: options.timing ?? DEFAULT_LEASE_TIMING,
          log: options.log ?? createSilentLogger(),
          decisions,
          isCandidate: () => isCandidate(duty),
          mayHold: options.mayHold ?? (() => true),
          start,
        }),
      );
      return toDisposable(() => void stopElection(duty));
    },
    currentTerm(duty): DutyTerm | undefined {
      return elections.get(duty)?.currentTerm();
    },
    release,
    dump: () =>
      Object.fromEntries(
        [...elections.values()].map(election => [
          election.duty,
          election.dump(),
        ]),
      ),
    dispose: () => void release(),
  };
}
