/**
 * Splits the slots of brittle endpoints among the entries.
 *
 * A brittle endpoint fails if it rejects more than a few requests per second,
 * from all entries together, because it is full. Entries learn of the load that
 * others cause only after it has arrived, so an endpoint that seems to have room
 * gets requests from all of them at once. With a fixed share of its slots for
 * each entry, no agreement is needed to stay within them.
 */
import {
  rendezvousOrder,
  type Clock,
  type DecisionLog,
} from '@skylarkfield/base';
import type {EndpointLimits} from '../limits/endpointLimits.js';

/** An endpoint whose slots are split. */
export interface SlottedEndpoint {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
}

export interface SlotShares extends EndpointLimits {
  /** Whether the endpoints of the service are brittle. */
  isBrittle(service: string): boolean;
  /**
   * Records the rejections per second that an endpoint tolerates according to
   * its response; undefined if the response names none.
   */
  recordTolerance(endpoint: string, perSecond: number | undefined): void;
  /** Records that an endpoint rejected a request because it was full. */
  recordRejection(endpoint: string): void;
  /** Sets the ids of all known entries, including this one. */
  setEntries(entries: readonly string[]): void;
  /** Recomputes the shares after endpoints were added or removed. */
  recordEndpointsChanged(): void;
  dump(): unknown;
}

const SECOND_MS = 1_000;

/**
 * Fraction of the tolerated rejections that all entries together may cause, as
 * each of them knows only its own.
 */
const TOLERANCE_FRACTION = 0.5;

/** Lower bound of the tolerated rejections per second, to divide by. */
const MIN_TOLERANCE = 0.1;

/** Longest pause after a rejection, in milliseconds. */
const MAX_PAUSE_MS = 60_000;

/**
 * Range of the wait suggested to callers, in milliseconds: a request of this
 * entry may end soon, and other entries have shares of their own.
 */
const MIN_WAIT_MS = 200;
const MAX_WAIT_MS = 1_000;

/**
 * Creates the shares of one entry; no endpoint is brittle at first.
 *
 * @example
 * slotShares.recordTolerance('i-1', 4);
 * if (slotShares.allowsRequest('i-1')) { send(); }
 */
export function createSlotShares(options: {
  readonly clock: Clock;
  /** Id of this entry. */
  readonly self: string;
  readonly decisions: DecisionLog;
  endpoint(id: string): SlottedEndpoint | undefined;
  /** Returns the ids of the endpoints of a service that accept requests. */
  endpointIdsOf(service: string): readonly string[];
  /** Returns the number of requests of this entry at an endpoint. */
  ownRequestsAt(endpoint: string): number;
  /** Called when the endpoints of a service become or are no longer brittle. */
  onDidChange(service: string): void;
}): SlotShares {
  const {clock, self, decisions} = options;
  const toleranceByService = new Map<string, number>();
  const pausedUntil = new Map<string, number>();
  /** Shares by endpoint; computed on first use. */
  const shares = new Map<string, number>();
  let entries: readonly string[] = [self];

  function toleranceOf(id: string): number | undefined {
    const service = options.endpoint(id)?.service;
    return service === undefined ? undefined : toleranceByService.get(service);
  }

  /** Returns the number of requests that this entry may have at the endpoint. */
  function shareOf(endpoint: SlottedEndpoint): number {
    const share = shares.get(endpoint.id) ?? computeShare(endpoint);
    shares.set(endpoint.id, share);
    return share;
  }

  function computeShare({id, service, slots}: SlottedEndpoint): number {
    const equalShare = Math.floor(slots / entries.length);
    const remainder = slots - equalShare * entries.length;
    const isInRemainder = rendezvousOrder(id, entries)
      .slice(0, remainder)
      .includes(self);
    if (equalShare > 0 || isInRemainder) {
      return equalShare + (isInRemainder ? 1 : 0);
    }
    // With more entries than slots, every entry may still use one endpoint.
    const [firstChoice] = rendezvousOrder(self, options.endpointIdsOf(service));
    return firstChoice === id ? 1 : 0;
  }

  function isPaused(id: string): boolean {
    return clock.now() < (pausedUntil.get(id) ?? -Infinity);
  }

  return {
    isBrittle: service => toleranceByService.has(service),
    recordTolerance(id, perSecond) {
      const service = options.endpoint(id)?.service;
      if (
        service === undefined ||
        toleranceByService.get(service) === perSecond
      ) {
        return;
      }
      if (perSecond === undefined) {
        toleranceByService.delete(service);
        pausedUntil.clear();
      } else {
        toleranceByService.set(service, perSecond);
      }
      decisions.recordDecision(
        'routing',
        service,
        perSecond === undefined ? 'end the split of slots' : 'split slots',
        'according to the responses of its endpoints',
        {
          entries: entries.length,
          ...(perSecond !== undefined && {rejectionsPerSecond: perSecond}),
        },
      );
      options.onDidChange(service);
    },
    recordRejection(id) {
      const tolerance = toleranceOf(id);
      if (tolerance === undefined) {
        return;
      }
      const rate = Math.max(MIN_TOLERANCE, tolerance * TOLERANCE_FRACTION);
      const pauseMs = Math.min(
        MAX_PAUSE_MS,
        (entries.length / rate) * SECOND_MS,
      );
      pausedUntil.set(id, clock.now() + pauseMs);
    },
    setEntries(ids) {
      entries = ids.includes(self) ? ids : [...ids, self];
      shares.clear();
    },
    recordEndpointsChanged: () => shares.clear(),
    allowsRequest(id) {
      // Usually no service is brittle; this runs for each endpoint at a choice.
      if (toleranceByService.size === 0) {
        return true;
      }
      const endpoint = options.endpoint(id);
      if (endpoint === undefined || !toleranceByService.has(endpoint.service)) {
        return true;
      }
      return !isPaused(id) && options.ownRequestsAt(id) < shareOf(endpoint);
    },
    consumeToken() {},
    waitMs(id) {
      if (toleranceOf(id) === undefined) {
        return 0;
      }
      const pauseMs = (pausedUntil.get(id) ?? -Infinity) - clock.now();
      return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, pauseMs));
    },
    dump: () => ({
      rejectionsPerSecond: Object.fromEntries(toleranceByService),
      paused: [...pausedUntil.keys()].filter(isPaused),
    }),
  };
}
