/** Load reports that are taken at intervals and published with a lag. */
import type {Clock} from '@skylarkfield/base';
import type {LoadReport} from '@skylarkfield/endpoints';
import type {EngineCosts} from './engineCosts.js';

export interface LoadReports {
  /** Takes a report if one is due; called whenever the load may have changed. */
  update(): void;
  /** The newest report that is old enough to be published. */
  published(): LoadReport;
}

/**
 * Makes the reports of an engine; `look` gives its load right now.
 *
 * @example
 * const reports = createLoadReports({clock, costs, look});
 */
export function createLoadReports(options: {
  readonly clock: Clock;
  readonly costs: Pick<EngineCosts, 'reportIntervalMs' | 'reportLagMs'>;
  look(): Omit<LoadReport, 'sequence'>;
}): LoadReports {
  const {clock, costs, look} = options;
  let sequence = 1;
  let newest: LoadReport = {...look(), sequence};
  let pending: {report: LoadReport; takenMs: number}[] = [];
  let nextMs = clock.now();

  function update() {
    if (clock.now() < nextMs) {
      return;
    }
    nextMs = clock.now() + costs.reportIntervalMs;
    sequence += 1;
    pending.push({report: {...look(), sequence}, takenMs: clock.now()});
    publishDue();
  }

  function publishDue() {
    const ripeMs = clock.now() - costs.reportLagMs;
    const ripe = pending.filter(({takenMs}) => takenMs <= ripeMs);
    pending = pending.filter(({takenMs}) => takenMs > ripeMs);
    newest = ripe.at(-1)?.report ?? newest;
  }

  return {
    update,
    published() {
      update();
      publishDue();
      return newest;
    },
  };
}
