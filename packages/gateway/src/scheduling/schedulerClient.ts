/** Asks the scheduler of a service where to send a request. */
import {
  createDisposableStore,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import type {PeerNetwork} from '@skylarkfield/protocol';
import type {ObservedDecision} from '@skylarkfield/scheduling';
import {createActivePlacements} from './activePlacements.js';
import {createClosedUrgencies} from './closedUrgencies.js';
import type {
  ScheduledAnswer,
  ScheduledRequest,
  SchedulerClient,
} from './schedulerContracts.js';
import type {SchedulerHost} from './schedulerHost.js';
import {createSchedulerQuery} from './schedulerQuery.js';
import {createSchedulerSelection} from './schedulerSelection.js';

/** Time for which a service counts as contended, in milliseconds. */
const CONTENDED_MS = 1_000;

/** Number of questions for one request. */
const MAX_ASKED = 2;

/** Answer to a request whose decision was lost until nobody waits for it. */
const EXPIRED: ScheduledAnswer = {
  type: 'rejected',
  reason: 'waited-in-vain',
  retryAfterMs: 1_000,
};

/**
 * Creates the client of one entry.
 *
 * @example
 * const answer = await schedulerClient.place(request, callerSignal);
 */
export function createSchedulerClient(options: {
  readonly self: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly network: PeerNetwork;
  readonly host: Pick<SchedulerHost, 'request' | 'begin' | 'end'>;
  /** Returns the live entries; undefined while they are not known. */
  liveMembers(): readonly Member[] | undefined;
  onDidChangeMembers(listener: () => void): Disposable;
  /** Called when a request is rejected without asking. */
  onDidReject(service: string, decision: ObservedDecision): void;
}): SchedulerClient {
  const {clock} = options;
  const disposables = createDisposableStore();
  const contendedUntil = new Map<string, number>();
  const counts = {asked: 0, unasked: 0, undecided: 0};
  let lastQuestion = 0;
  const selection = disposables.add(createSchedulerSelection(options));
  const activePlacements = createActivePlacements(options);
  const closedUrgencies = createClosedUrgencies(options);
  const query = disposables.add(
    createSchedulerQuery({
      ...options,
      selection,
      activePlacements,
      onDidLearnContention: service =>
        void contendedUntil.set(service, clock.now() + CONTENDED_MS),
    }),
  );

  function rejectUnasked(
    request: ScheduledRequest,
  ): ScheduledAnswer | undefined {
    const rejection = closedUrgencies.reject(request);
    if (rejection !== undefined) {
      counts.unasked += 1;
      options.onDidReject(request.service, {
        request,
        outcome: rejection.reason,
        waitedMs: 0,
        isLate: false,
        isShort: false,
      });
    }
    return rejection;
  }

  /**
   * Returns the request as asked for: several attempts of a caller may have the
   * same id at the same time, and each question has a placement of its own.
   */
  function toAsked(request: ScheduledRequest): ScheduledRequest {
    lastQuestion += 1;
    return {
      ...request,
      id: `${request.id}/${lastQuestion}`,
      unasked: closedUrgencies.takeUnasked(request),
    };
  }

  /** Asks one entry; undefined if it does not decide. */
  async function ask(
    scheduler: string,
    request: ScheduledRequest,
    signal: AbortSignal,
    excluded: Set<string>,
  ): Promise<ScheduledAnswer | undefined> {
    const asked = toAsked(request);
    counts.asked += 1;
    const result = await query.ask(scheduler, asked, signal);
    closedUrgencies.record(asked, result);
    if (signal.aborted) {
      if (result.type === 'placed') {
        activePlacements.withdraw(asked, scheduler);
      }
      return {type: 'cancelled'};
    }
    if (result.type === 'lost') {
      if (!result.asksAgain) {
        excluded.add(scheduler);
      }
      return undefined;
    }
    if (result.type === 'placed') {
      const {endpoint} = result;
      const placement = activePlacements.add(asked, scheduler, endpoint);
      return {type: 'placed', placement};
    }
    return result;
  }

  return {
    isContended: service => (contendedUntil.get(service) ?? 0) > clock.now(),
    async place(request, signal) {
      const rejection = rejectUnasked(request);
      if (rejection !== undefined) {
        return rejection;
      }
      const excluded = new Set<string>();
      for (let index = 0; index < MAX_ASKED; index++) {
        if (index > 0 && clock.now() >= request.deadlineAt) {
          // A stream's caller leaves long before the time limit of its route.
          return EXPIRED;
        }
        const scheduler = selection.next(request.service, excluded);
        if (scheduler === undefined) {
          break;
        }
        const answer = await ask(scheduler, request, signal, excluded);
        if (answer !== undefined) {
          return answer;
        }
      }
      counts.undecided += 1;
      return {type: 'undecided'};
    },
    dump: () => ({
      ...counts,
      ...selection.dump(),
      active: activePlacements.size,
      pending: query.pendingCount,
    }),
    dispose: () => disposables.dispose(),
  };
}
