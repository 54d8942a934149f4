/** Carries what endpoints report of their load to the admission. */
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
  /** The router to give the reports to: it keeps a copy for the admission. */
  readonly router: Router;
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

  /** Requests at all endpoints of a service; undefined while any of them is silent. */
  function busyOf(service: string, endpoints: EndpointPool) {
    let busy = 0;
    let isAny = false;
    for (const {listed, leaving} of endpoints.list()) {
      if (listed.service !== service || leaving.aborted) {
        continue;
      }
      const known = reports.get(listed.id);
      if (known === undefined || clock.now() - known.at > FRESH_MS) {
        return undefined;
      }
      busy += known.report.running + known.report.waiting;
      isAny = true;
    }
    return isAny ? busy : undefined;
  }

  function feed(endpoints: EndpointPool): void {
    const listed = new Set(endpoints.list().map(({listed: {id}}) => id));
    for (const id of reports.keys()) {
      if (!listed.has(id)) {
        reports.delete(id);
      }
    }
    for (const {name} of configuration.list('service')) {
      admission.setReportedSlots(
        name,
        router.slots(name),
        busyOf(name, endpoints),
      );
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
    start: endpoints => every(clock, FEED_INTERVAL_MS, () => feed(endpoints)),
  };
}
