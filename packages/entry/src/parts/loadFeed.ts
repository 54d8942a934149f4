/** Keeps what endpoints report of their load, for the admission and the fleet. */
import type {AdmissionController} from '@skylarkfield/admission';
import {every, type Clock, type Disposable} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Configuration} from '@skylarkfield/records';
import type {Router} from '@skylarkfield/routing';
import type {EndpointPool} from '../serving.js';

/** How often the sums go to the admission, in milliseconds. */
const FEED_INTERVAL_MS = 1_000;

/**
 * A report older than this no longer counts. With some endpoints silent the sum
 * would look as if places were idle, and entries would borrow what is taken.
 */
const FRESH_MS = 5_000;

/**
 * Fresh reports needed to know a service's load, relative to the endpoints that
 * are asked, and the number that is enough of a sample of many. Asking is
 * bounded in rate, so of many endpoints some are always due. Those that are
 * missing count as the mean of the others.
 */
const LEAST_REPORTED = 0.75;
const ENOUGH_REPORTS = 16;

interface TimedReport {
  readonly report: LoadReport;
  readonly at: number;
}

interface LoadFeedOptions {
  readonly clock: Clock;
  readonly admission: AdmissionController;
  readonly configuration: Pick<Configuration, 'list'>;
}

export interface LoadFeed {
  /** The router to give the reports to: each is noted on its way. */
  readonly router: Router;
  /** Latest reports of a service's endpoints that are fresh. */
  reports(service: string): readonly LoadReport[];
  /** Starts to feed, with the endpoints that the reports are about. */
  start(endpoints: EndpointPool): Disposable;
}

/**
 * Makes the feed around a router.
 *
 * @example
 * const feed = createLoadFeed(router, {clock, admission, configuration});
 * const endpoints = createEnginesPart(context, hostList, feed.router);
 * owned.add(feed.start(endpoints));
 */
export function createLoadFeed(
  router: Router,
  {clock, admission, configuration}: LoadFeedOptions,
): LoadFeed {
  const reports = new Map<string, TimedReport>();
  let pool: EndpointPool | undefined;

  function freshReport(id: string): LoadReport | undefined {
    const known = reports.get(id);
    if (known === undefined || clock.now() - known.at > FRESH_MS) {
      return undefined;
    }
    return known.report;
  }

  function usableEndpoints(service: string) {
    return (pool?.list() ?? []).filter(
      ({listed, leaving}) => listed.service === service && !leaving.aborted,
    );
  }

  function reportsOf(service: string): LoadReport[] {
    return usableEndpoints(service).flatMap(
      ({listed}) => freshReport(listed.id) ?? [],
    );
  }

  /**
   * Requests at all endpoints of a service, also those that this entry does not
   * ask; undefined while too many of the asked ones are silent.
   */
  function busyOf(service: string): number | undefined {
    const usable = usableEndpoints(service);
    const held = new Set(router.assignedEndpoints().map(({id}) => id));
    const asked = usable.filter(({listed: {id}}) => held.has(id)).length;
    const known = reportsOf(service);
    const needed = Math.min(ENOUGH_REPORTS, asked * LEAST_REPORTED);
    if (known.length === 0 || known.length < needed) {
      return undefined;
    }
    const sum = known.reduce(
      (total, report) => total + report.running + report.waiting,
      0,
    );
    return Math.round((sum * usable.length) / known.length);
  }

  function feed(endpoints: EndpointPool): void {
    const listed = new Set(endpoints.list().map(({listed: {id}}) => id));
    for (const id of reports.keys()) {
      if (!listed.has(id)) {
        reports.delete(id);
      }
    }
    for (const {name} of configuration.list('service')) {
      admission.setReportedSlots(name, router.slots(name), busyOf(name));
    }
  }

  return {
    router: {
      ...router,
      reportLoad(id, report) {
        reports.set(id, {report, at: clock.now()});
        router.reportLoad(id, report);
      },
    },
    reports: reportsOf,
    start(endpoints) {
      pool = endpoints;
      return every(clock, FEED_INTERVAL_MS, () => feed(endpoints));
    },
  };
}
