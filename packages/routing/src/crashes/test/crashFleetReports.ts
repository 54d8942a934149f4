/** Exchange of crash reports between simulated entries: gossip and a store. */
import type {Clock} from '@skylarkfield/base';
import type {CrashQuarantine} from '../crashQuarantine.js';

/** Time until gossip, and a stored report, is known to the other entries. */
const GOSSIP_DELAY_MS = 20;
const STORE_DELAY_MS = 150;

export interface SimulatedEntry {
  readonly id: string;
  quarantine: CrashQuarantine;
  /** Entries on different sides do not hear each other. */
  side: number;
}

export interface ReportExchange {
  /** Stores reports of the entry's quarantine when they change. */
  watchReports(entry: SimulatedEntry): void;
  /** Stores the reports that changed since the last call, if the store is up. */
  writeReports(): void;
  /** Sends the reports of all entries to the entries of their side. */
  gossip(): void;
  /** Passes the stored reports to the new quarantine of an entry. */
  restoreReports(entry: SimulatedEntry): void;
  setStoreDown(isDown: boolean): void;
  /** Bytes of the largest stored report, and of all gossip so far. */
  reportBytes(): {readonly largestStored: number; readonly gossiped: number};
  storeWrites(): number;
}

/**
 * Creates an exchange without reports.
 *
 * @example
 * const exchange = createReportExchange(clock, entries);
 * entries.forEach(exchange.watchReports);
 */
export function createReportExchange(
  clock: Clock,
  entries: readonly SimulatedEntry[],
): ReportExchange {
  const storedReports = new Map<
    string,
    ReturnType<CrashQuarantine['reportToStore']>
  >();
  const dirtyEntries = new Set<SimulatedEntry>();
  let isStoreDown = false;
  let largestStored = 0;
  let gossiped = 0;
  let storeWrites = 0;

  return {
    watchReports(entry) {
      entry.quarantine.onDidChange(() => dirtyEntries.add(entry));
    },
    writeReports() {
      if (isStoreDown) {
        return;
      }
      for (const entry of dirtyEntries) {
        const report = entry.quarantine.reportToStore();
        entry.quarantine.recordStored(report);
        storedReports.set(entry.id, report);
        storeWrites += 1;
        largestStored = Math.max(largestStored, JSON.stringify(report).length);
        clock.after(STORE_DELAY_MS, () =>
          entries
            .filter(other => other !== entry)
            .forEach(other =>
              other.quarantine.setStoredReport(entry.id, report),
            ),
        );
      }
      dirtyEntries.clear();
    },
    gossip() {
      for (const sender of entries) {
        const report = sender.quarantine.reportToGossip();
        if (report === undefined) {
          continue;
        }
        const receivers = entries.filter(
          entry => entry !== sender && entry.side === sender.side,
        );
        gossiped += JSON.stringify(report).length * receivers.length;
        clock.after(GOSSIP_DELAY_MS, () =>
          receivers.forEach(({quarantine}) => quarantine.mergeGossip(report)),
        );
      }
    },
    restoreReports(entry) {
      dirtyEntries.delete(entry);
      storedReports.forEach((report, id) =>
        id === entry.id
          ? entry.quarantine.restoreOwnReport(report)
          : entry.quarantine.setStoredReport(id, report),
      );
    },
    setStoreDown(isDown) {
      isStoreDown = isDown;
    },
    reportBytes: () => ({largestStored, gossiped}),
    storeWrites: () => storeWrites,
  };
}
