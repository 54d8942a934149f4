/** Requests of one entry that schedulers have placed, until they end. */
import type {Clock} from '@skylarkfield/base';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {PlacementOutcome, ReportedLoad} from '@skylarkfield/scheduling';
import type {Placement, ScheduledRequest} from './schedulerContracts.js';
import type {SchedulerHost} from './schedulerHost.js';

export interface ActivePlacements {
  readonly size: number;
  /** Adds a request that a scheduler has placed. */
  add(
    request: ScheduledRequest,
    scheduler: string,
    endpoint: string,
  ): Placement;
  /**
   * Withdraws a request that is queued, or whose placement is not used; returns
   * whether the message was sent.
   */
  withdraw(request: ScheduledRequest, scheduler: string): boolean;
  /**
   * Returns the requests in progress for an entry that has not been told them;
   * undefined if it has.
   */
  takeHeld(scheduler: string): Messages['placementWanted']['held'];
  /** Makes the next question to an entry tell the requests in progress. */
  forgetScheduler(scheduler: string): void;
}

/** A request in progress, as told to schedulers. */
interface ActivePlacement {
  readonly request: ScheduledRequest;
  readonly endpoint: string;
  readonly placedAt: number;
  /** Entries that count the request. */
  readonly schedulers: Set<string>;
}

/**
 * Creates the placements of one entry, without any.
 *
 * @example
 * const placement = activePlacements.add(request, scheduler, endpoint);
 * placement.end('ok', endpoint);
 */
export function createActivePlacements(options: {
  readonly self: string;
  readonly clock: Clock;
  readonly network: Pick<PeerNetwork, 'send'>;
  readonly host: Pick<SchedulerHost, 'begin' | 'end'>;
}): ActivePlacements {
  const {self, clock, network, host} = options;
  const placements = new Set<ActivePlacement>();
  /** Entries that were told of the requests in progress. */
  const informedSchedulers = new Set<string>();

  function tellBegin(
    scheduler: string,
    message: Messages['placementBegan'],
  ): void {
    if (scheduler === self) {
      host.begin(self, message);
      return;
    }
    network.send(scheduler, 'placementBegan', message);
  }

  function tellEnd(
    scheduler: string,
    {service, version, id}: ScheduledRequest,
    end: Pick<
      Messages['placementEnded'],
      'outcome' | 'tookMs' | 'endpoint' | 'began'
    >,
  ): boolean {
    const message = {service, version, id, ...end};
    if (scheduler === self) {
      host.end(self, message);
      return true;
    }
    return network.send(scheduler, 'placementEnded', message);
  }

  function end(
    {request, placedAt, schedulers}: ActivePlacement,
    outcome: PlacementOutcome,
    endpoint: string | undefined,
    began: Messages['placementEnded']['began'],
  ): void {
    const tookMs = clock.now() - placedAt;
    for (const scheduler of schedulers) {
      tellEnd(scheduler, request, {
        outcome,
        tookMs,
        ...(endpoint !== undefined && {endpoint}),
        ...(began && {began}),
      });
    }
  }

  return {
    get size() {
      return placements.size;
    },
    add(request, scheduler, endpoint) {
      const placedAt = clock.now();
      const schedulers = new Set([scheduler]);
      const active = {request, endpoint, placedAt, schedulers};
      placements.add(active);
      let began: Messages['placementEnded']['began'];
      return {
        endpoint,
        scheduler,
        recordBegin(usedEndpoint, reportedLoad) {
          const {service, version, id, prompt} = request;
          began = {
            firstMs: clock.now() - placedAt,
            ...(reportedLoad && {load: toLoad(reportedLoad)}),
          };
          if (prompt === undefined) {
            // The response of a plain service ends soon, so one message tells both.
            return;
          }
          const target = {service, version, id, endpoint: usedEndpoint};
          tellBegin(scheduler, {...target, ...began});
          began = undefined;
        },
        end(outcome, usedEndpoint) {
          placements.delete(active);
          end(active, outcome, usedEndpoint, began);
        },
      };
    },
    withdraw: (request, scheduler) =>
      tellEnd(scheduler, request, {outcome: 'cancelled', tookMs: 0}),
    takeHeld(scheduler) {
      if (informedSchedulers.has(scheduler)) {
        return undefined;
      }
      informedSchedulers.add(scheduler);
      const now = clock.now();
      return [...placements].map(active => {
        active.schedulers.add(scheduler);
        return toHeld(active, now);
      });
    },
    forgetScheduler: scheduler => void informedSchedulers.delete(scheduler),
  };
}

function toHeld({request, endpoint, placedAt}: ActivePlacement, now: number) {
  const {service, version, id, route, urgency, deadlineAt, endsAt} = request;
  return {
    service,
    version,
    id,
    endpoint,
    route,
    urgency,
    ageMs: now - placedAt,
    remainingMs: (endsAt ?? deadlineAt) - now,
  };
}

function toLoad({running, waiting, slowness}: ReportedLoad): ReportedLoad {
  return {running, waiting, ...(slowness !== undefined && {slowness})};
}
