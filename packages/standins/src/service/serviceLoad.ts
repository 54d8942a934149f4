/** Concurrency slots and delayed load report of the plain-service stand-in. */
import type {LoadReport} from '@skylarkfield/endpoints';

export interface ServiceLoad {
  /** Waits for a free slot; returns the function that releases the slot. */
  acquireSlot(): Promise<() => void>;
  /** Number of occupied slots. */
  readonly running: number;
  /** Returns the load as it was `lagMs` ago. */
  report(): LoadReport;
  setLag(lagMs: number): void;
}

interface Snapshot {
  readonly takenAtMs: number;
  readonly running: number;
  readonly waiting: number;
}

const MAX_SNAPSHOTS = 10_000;

/**
 * Creates the slots and load report of one stand-in; all slots are free.
 *
 * @example
 * const load = createServiceLoad(16, 200, () => performance.now());
 * const releaseSlot = await load.acquireSlot();
 */
export function createServiceLoad(
  slots: number,
  initialLagMs: number,
  nowMs: () => number,
): ServiceLoad {
  const waiters: Array<() => void> = [];
  const snapshots: Snapshot[] = [{takenAtMs: 0, running: 0, waiting: 0}];
  let running = 0;
  let lagMs = initialLagMs;
  let sequence = 0;

  function recordSnapshot(): void {
    snapshots.push({takenAtMs: nowMs(), running, waiting: waiters.length});
    if (snapshots.length > MAX_SNAPSHOTS) {
      snapshots.shift();
    }
  }

  function releaseSlot(): void {
    running -= 1;
    waiters.shift()?.();
    recordSnapshot();
  }

  return {
    get running() {
      return running;
    },
    async acquireSlot() {
      if (running >= slots) {
        await new Promise<void>(resolve => {
          waiters.push(resolve);
          recordSnapshot();
        });
      }
      running += 1;
      recordSnapshot();
      return releaseSlot;
    },
    report() {
      const asOfMs = nowMs() - lagMs;
      const laggedSnapshot = snapshots.findLast(
        snapshot => snapshot.takenAtMs <= asOfMs,
      );
      sequence += 1;
      return {
        sequence,
        running: laggedSnapshot?.running ?? 0,
        waiting: laggedSnapshot?.waiting ?? 0,
        slots,
        waitingPromptTokens: 0,
        cacheUse: 0,
      };
    },
    setLag(newLagMs) {
      lagMs = newLagMs;
    },
  };
}
