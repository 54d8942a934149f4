/** Loads that other entries report, recorded at the endpoints that they name. */
import type {Clock} from '@skylarkfield/base';
import type {EntryLoad} from '../contracts.js';
import type {LoadView} from './loadView.js';

/** Reports received from other entries, each on the loads of all endpoints. */
export interface EntryReports {
  /** Number of reports so far. */
  count(): number;
  /** Monotonic milliseconds of the last report; -Infinity before the first. */
  lastMs(): number;
}

export interface EntryLoads {
  readonly reports: EntryReports;
  /** Replaces the loads of an entry by its newest report. */
  record(entry: string, loads: Readonly<Record<string, EntryLoad>>): void;
}

/**
 * Creates the loads of entries that have reported nothing. `viewOf` returns the
 * load of an endpoint; undefined if the endpoint is not known.
 *
 * Reports arrive several times a second from each entry and name few endpoints.
 * So a report changes only the endpoints that it or the entry's previous report
 * names.
 *
 * @example
 * const entryLoads = createEntryLoads(clock, id => pools.get(id)?.load);
 * entryLoads.record('e2', digest.loads);
 */
export function createEntryLoads(
  clock: Clock,
  viewOf: (endpoint: string) => Pick<LoadView, 'recordEntryLoad'> | undefined,
): EntryLoads {
  const loadedViewsByEntry = new Map<
    string,
    ReadonlySet<Pick<LoadView, 'recordEntryLoad'>>
  >();
  let count = 0;
  let lastMs = -Infinity;

  return {
    reports: {count: () => count, lastMs: () => lastMs},
    record(entry, loads) {
      count += 1;
      lastMs = clock.now();
      const loadedViews = new Set<Pick<LoadView, 'recordEntryLoad'>>();
      for (const [endpoint, load] of Object.entries(loads)) {
        const view = viewOf(endpoint);
        if (view !== undefined) {
          view.recordEntryLoad(entry, load);
          loadedViews.add(view);
        }
      }
      for (const view of loadedViewsByEntry.get(entry) ?? []) {
        if (!loadedViews.has(view)) {
          view.recordEntryLoad(entry, undefined);
        }
      }
      loadedViewsByEntry.set(entry, loadedViews);
    },
  };
}
