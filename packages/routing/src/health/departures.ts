/**
 * Endpoints that have announced in a response that they will stop.
 *
 * An endpoint also reports its departure to the platform, which may be
 * unavailable for longer than the endpoint waits. An announcement is final for
 * one process: a registration that calls the endpoint ready is older.
 */
import {
  createEmitter,
  type Clock,
  type DecisionLog,
  type Event,
} from '@skylarkfield/base';

/** Milliseconds since endpoints announced their departure, by endpoint. */
export type DepartureReport = Readonly<Record<string, number>>;

export interface Departures {
  /** Records that a response of the endpoint announced its departure. */
  recordAnnouncement(endpoint: string): void;
  hasAnnounced(endpoint: string): boolean;
  /**
   * Returns the latest announcements, own and heard, for the other entries.
   */
  report(): DepartureReport;
  /** Applies the announcements that another entry knows. */
  mergeReport(report: DepartureReport): void;
  /** Forgets old announcements of endpoints that are not registered. */
  retainEndpoints(registered: {has(endpoint: string): boolean}): void;
  /** Fires once for each endpoint, when its departure becomes known. */
  readonly onDidAnnounce: Event<string>;
  dump(): unknown;
}

/**
 * Time for which an announcement is kept without a registration, in
 * milliseconds: the platform may lose registrations while it is unavailable, and
 * restore them.
 */
const RETENTION_MS = 60_000;

/** Maximum number of announcements in a report; the latest are sent. */
const MAX_REPORTED = 100;

/**
 * Creates the departures that one entry knows; none at first.
 *
 * @example
 * departures.recordAnnouncement('i-1@7');
 * departures.hasAnnounced('i-1@7'); // true
 */
export function createDepartures(options: {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}): Departures {
  const {clock, decisions} = options;
  /** Monotonic milliseconds of the announcements, oldest first. */
  const announcedAt = new Map<string, number>();
  let registered: {has(endpoint: string): boolean} = new Set<string>();
  const announceEmitter = createEmitter<string>();
  const totals = {announced: 0, heard: 0};

  function isKept(endpoint: string, ageMs: number): boolean {
    return ageMs <= RETENTION_MS || registered.has(endpoint);
  }

  function add(endpoint: string, ageMs: number, reason: string): void {
    announcedAt.set(endpoint, clock.now() - ageMs);
    decisions.recordDecision('routing', endpoint, 'leaving', reason, {
      ageMs: Math.round(ageMs),
    });
    announceEmitter.fire(endpoint);
  }

  return {
    recordAnnouncement(endpoint) {
      if (!announcedAt.has(endpoint)) {
        totals.announced += 1;
        add(endpoint, 0, 'according to its response');
      }
    },
    hasAnnounced: endpoint => announcedAt.has(endpoint),
    report() {
      const now = clock.now();
      return Object.fromEntries(
        [...announcedAt]
          .slice(-MAX_REPORTED)
          .map(([endpoint, at]) => [endpoint, Math.round(now - at)]),
      );
    },
    mergeReport(report) {
      for (const [endpoint, ageMs] of Object.entries(report)) {
        if (!announcedAt.has(endpoint) && isKept(endpoint, ageMs)) {
          totals.heard += 1;
          add(endpoint, ageMs, 'according to another entry');
        }
      }
    },
    retainEndpoints(newRegistered) {
      registered = newRegistered;
      for (const [endpoint, at] of announcedAt) {
        if (!isKept(endpoint, clock.now() - at)) {
          announcedAt.delete(endpoint);
        }
      }
    },
    onDidAnnounce: announceEmitter.event,
    dump: () => ({...totals, endpoints: [...announcedAt.keys()]}),
  };
}
