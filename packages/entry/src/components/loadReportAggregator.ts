/** Aggregates endpoints' load reports for admission and the fleet duty. */
import type {AdmissionController} from '@skylarkfield/admission';
import {
  scheduleRepeatedly,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {Configuration} from '@skylarkfield/records';
import type {Router} from '@skylarkfield/routing';
import type {EndpointPool} from '../servingContext.js';

/** Interval of updates to admission control, in milliseconds. */
const PUBLISH_INTERVAL_MS = 1_000;

/**
 * Maximum age of a load report that counts, in milliseconds. Without the bound,
 * endpoints that stopped reporting could look idle, and entries would borrow
 * slots that are in use.
 */
const MAX_REPORT_AGE_MS = 5_000;

/**
 * Fresh reports required to estimate a service's load: a fraction of the polled
 * endpoints, but no more than a sufficient sample. The poll rate is bounded, so
 * with many endpoints some reports are always stale. An endpoint without a
 * fresh report counts as the mean of the fresh reports.
 */
const MIN_REPORTING_FRACTION = 0.75;
const SUFFICIENT_REPORTS = 16;

interface TimedReport {
  readonly report: LoadReport;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

interface LoadReportAggregatorOptions {
  readonly clock: Clock;
  readonly admission: AdmissionController;
  readonly configuration: Pick<Configuration, 'list'>;
}

export interface LoadReportAggregator {
  /** Router that forwards all calls and records the reports of `recordLoadReport`. */
  readonly router: Router;
  /** Returns the latest fresh reports of a service's endpoints. */
  freshReports(service: string): readonly LoadReport[];
  /** Starts to send the estimated load of `endpoints` to admission control. */
  start(endpoints: EndpointPool): Disposable;
}

/**
 * Creates an aggregator that wraps a router.
 *
 * @example
 * const loadReports = createLoadReportAggregator(router, options);
 * const endpointPool = createEndpointPoolComponent(
 *   context, leavingComponent, loadReports.router);
 * disposables.add(loadReports.start(endpointPool));
 */
export function createLoadReportAggregator(
  router: Router,
  {clock, admission, configuration}: LoadReportAggregatorOptions,
): LoadReportAggregator {
  const reports = new Map<string, TimedReport>();
  let pool: EndpointPool | undefined;

  function freshReport(id: string): LoadReport | undefined {
    const timedReport = reports.get(id);
    if (
      timedReport === undefined ||
      clock.now() - timedReport.receivedAt > MAX_REPORT_AGE_MS
    ) {
      return undefined;
    }
    return timedReport.report;
  }

  function usableEndpoints(service: string) {
    return (pool?.list() ?? []).filter(
      ({listedEndpoint, leavingSignal}) =>
        listedEndpoint.service === service && !leavingSignal.aborted,
    );
  }

  function freshReportsOf(service: string): LoadReport[] {
    return usableEndpoints(service).flatMap(
      ({listedEndpoint}) => freshReport(listedEndpoint.id) ?? [],
    );
  }

  /**
   * Estimates the number of requests that run or wait at all endpoints of a
   * service, polled by this entry or not; undefined with too few fresh reports.
   */
  function estimateBusySlots(service: string): number | undefined {
    const endpoints = usableEndpoints(service);
    const assignedIds = new Set(router.assignedEndpoints().map(({id}) => id));
    const polledCount = endpoints.filter(({listedEndpoint: {id}}) =>
      assignedIds.has(id),
    ).length;
    const freshReports = freshReportsOf(service);
    const requiredCount = Math.min(
      SUFFICIENT_REPORTS,
      polledCount * MIN_REPORTING_FRACTION,
    );
    if (freshReports.length === 0 || freshReports.length < requiredCount) {
      return undefined;
    }
    const reportedRequests = freshReports.reduce(
      (total, report) => total + report.running + report.waiting,
      0,
    );
    return Math.round(
      (reportedRequests * endpoints.length) / freshReports.length,
    );
  }

  function publishLoad(endpoints: EndpointPool): void {
    const listedIds = new Set(
      endpoints.list().map(({listedEndpoint: {id}}) => id),
    );
    for (const id of reports.keys()) {
      if (!listedIds.has(id)) {
        reports.delete(id);
      }
    }
    for (const {name} of configuration.list('service')) {
      admission.recordReportedSlots(
        name,
        router.slots(name),
        estimateBusySlots(name),
      );
    }
  }

  return {
    router: {
      ...router,
      recordLoadReport(id, report) {
        reports.set(id, {report, receivedAt: clock.now()});
        router.recordLoadReport(id, report);
      },
    },
    freshReports: freshReportsOf,
    start(endpoints) {
      pool = endpoints;
      return scheduleRepeatedly(clock, PUBLISH_INTERVAL_MS, () =>
        publishLoad(endpoints),
      );
    },
  };
}
