/** Concurrency slots and delayed load report of the plain-service stand-in. */
import type {LoadReport} from '@skylarkfield/endpoints';

export interface ServiceLoad {
  /** Waits for a free slot; the returned function releases it. */
  acquireSlot(): Promise<() => void>;
  readonly running: number;
  /** Returns the load as it was `lagMs` ago. */
  report(): LoadReport;
  setLag(lagMs: number): void;
}

interface Snapshot {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

const MAX_SNAPSHOTS = 10_000;

/**
 * Creates the slots of one stand-in.
 *
 * @example
 * const load = createServiceLoad(16, 200, () => performance.now());
 * const releaseSlot = await load.acquireSlot();
 */
export function createServiceLoad(
  slots: number,
  initialLagMs: number,
  now: () => number,
): ServiceLoad {
  const waiters: Array<() => void> = [];
  const snapshots: Snapshot[] = [{at: 0, running: 0, waiting: 0}];
  let running = 0;
  let lagMs = initialLagMs;
  let sequence = 0;

  function recordSnapshot(): void {
    snapshots.push({at: now(), running, waiting: waiters.length});
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
      const asOfMs = now() - lagMs;
      const lagged = snapshots.findLast(snapshot => snapshot.at <= asOfMs);
      sequence += 1;
      return {
        sequence,
        running: lagged?.running ?? 0,
        waiting: lagged?.waiting ?? 0,
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
