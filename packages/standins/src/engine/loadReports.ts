/** Load reports, sampled at an interval and published with a lag. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {EngineCosts} from './engineCosts.js';

export interface LoadReports {
  /** Called whenever the load may have changed; takes a sample if one is due. */
  update(): void;
  /** Returns the latest report that is older than the lag. */
  published(): LoadReport;
}

/**
 * Creates the reports of an engine; `sample` returns its current load.
 *
 * @example
 * const reports = createLoadReports({clock, costs, sample});
 */
export function createLoadReports(options: {
  readonly clock: Clock;
  readonly costs: Pick<EngineCosts, 'reportIntervalMs' | 'reportLagMs'>;
  sample(): Omit<LoadReport, 'sequence'>;
}): LoadReports {
  const {clock, costs, sample} = options;
  let sequence = 1;
  let latestPublished: LoadReport = {...sample(), sequence};
  let pending: {report: LoadReport; sampledMs: number}[] = [];
  let nextSampleMs = clock.now();

  function update() {
    if (clock.now() < nextSampleMs) {
      return;
    }
    nextSampleMs = clock.now() + costs.reportIntervalMs;
    sequence += 1;
    pending.push({report: {...sample(), sequence}, sampledMs: clock.now()});
    publishDue();
  }

  function publishDue() {
    const latestDueMs = clock.now() - costs.reportLagMs;
    const due = pending.filter(({sampledMs}) => sampledMs <= latestDueMs);
    pending = pending.filter(({sampledMs}) => sampledMs > latestDueMs);
    latestPublished = due.at(-1)?.report ?? latestPublished;
  }

  return {
    update,
    published() {
      update();
      publishDue();
      return latestPublished;
    },
  };
}
