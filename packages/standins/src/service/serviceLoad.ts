/** Work slots of the plain-service stand-in and its load report, which lags. */
import type {LoadReport} from '@skylarkfield/endpoints';

export interface ServiceLoad {
  /** Waits for a free slot; the returned function frees it. */
  enter(): Promise<() => void>;
  readonly running: number;
  /** The load as it was one lag ago. */
  report(): LoadReport;
  setLag(lagMs: number): void;
}

interface Snapshot {
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
}

const KEPT_SNAPSHOTS = 10_000;

/**
 * Makes the slots of one stand-in.
 *
 * @example
 * const load = createServiceLoad(16, 200, () => performance.now());
 * const leave = await load.enter();
 */
export function createServiceLoad(
  slots: number,
  initialLagMs: number,
  now: () => number,
): ServiceLoad {
  const waiting: Array<() => void> = [];
  const snapshots: Snapshot[] = [{at: 0, running: 0, waiting: 0}];
  let running = 0;
  let lagMs = initialLagMs;
  let sequence = 0;

  function note(): void {
    snapshots.push({at: now(), running, waiting: waiting.length});
    if (snapshots.length > KEPT_SNAPSHOTS) {
      snapshots.shift();
    }
  }

  function leave(): void {
    running -= 1;
    waiting.shift()?.();
    note();
  }

  return {
    get running() {
      return running;
    },
    async enter() {
      if (running >= slots) {
        await new Promise<void>(resolve => {
          waiting.push(resolve);
          note();
        });
      }
      running += 1;
      note();
      return leave;
    },
    report() {
      const seenAt = now() - lagMs;
      const seen = snapshots.findLast(snapshot => snapshot.at <= seenAt);
      sequence += 1;
      return {
        sequence,
        running: seen?.running ?? 0,
        waiting: seen?.waiting ?? 0,
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
