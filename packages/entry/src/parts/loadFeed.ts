/** Keeps what endpoints report of their load, for the admission and the fleet. */
import type {Admission} from '@skylarkfield/admission';
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

interface TimedReport {
  readonly report: LoadReport;
  readonly at: number;
}

interface LoadFeedOptions {
  readonly clock: Clock;
  readonly admission: Admission;
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

  /** Requests at all endpoints of a service; undefined while any of them is silent. */
  function busyOf(service: string): number | undefined {
    const known = reportsOf(service);
    if (known.length === 0 || known.length < usableEndpoints(service).length) {
      return undefined;
    }
    return known.reduce(
      (sum, report) => sum + report.running + report.waiting,
      0,
    );
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
