/** Load reports, sampled at an interval and published with a lag. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {EngineCosts} from './engineCosts.js';

export interface LoadReports {
  /** Samples the load if a sample is due; called after each change of load. */
  update(): void;
  /** Returns the latest report that is at least `reportLagMs` old. */
  latestPublishedReport(): LoadReport;
}

/**
 * Creates the load reports of an engine; `sampleLoad` returns its current load.
 *
 * @example
 * const reports = createLoadReports({clock, costs, sampleLoad});
 */
export function createLoadReports(options: {
  readonly clock: Clock;
  readonly costs: Pick<EngineCosts, 'reportIntervalMs' | 'reportLagMs'>;
  sampleLoad(): Omit<LoadReport, 'sequence'>;
}): LoadReports {
  const {clock, costs, sampleLoad} = options;
  let sequence = 1;
  let publishedReport: LoadReport = {...sampleLoad(), sequence};
  let unpublishedReports: {report: LoadReport; sampledMs: number}[] = [];
  let nextSampleMs = clock.now();

  function update() {
    if (clock.now() < nextSampleMs) {
      return;
    }
    nextSampleMs = clock.now() + costs.reportIntervalMs;
    sequence += 1;
    unpublishedReports.push({
      report: {...sampleLoad(), sequence},
      sampledMs: clock.now(),
    });
    publishDueReports();
  }

  function publishDueReports() {
    const latestDueMs = clock.now() - costs.reportLagMs;
    const dueReports = unpublishedReports.filter(
      ({sampledMs}) => sampledMs <= latestDueMs,
    );
    unpublishedReports = unpublishedReports.filter(
      ({sampledMs}) => sampledMs > latestDueMs,
    );
    publishedReport = dueReports.at(-1)?.report ?? publishedReport;
  }

  return {
    update,
    latestPublishedReport() {
      update();
      publishDueReports();
      return publishedReport;
    },
  };
}
