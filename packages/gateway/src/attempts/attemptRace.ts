/**
 * Decides which of the attempts of one request that run at the same time passes
 * on its response.
 */
import type {Disposable} from '@skylarkfield/base';

/** When an attempt started, compared with the one that it has superseded. */
export type RivalOrder = 'earlier' | 'later';

/** One attempt in the race of its request. */
export interface RaceEntry {
  /** Supersedes all other attempts; called before a response is passed on. */
  lead(): void;
  isSuperseded(): boolean;
  /** Calls back when another attempt takes the lead, with its order. */
  onDidSupersede(listener: (rival: RivalOrder) => void): Disposable;
}

export interface AttemptRace {
  /** Adds an attempt. */
  enter(): RaceEntry;
}

interface Runner {
  readonly order: number;
  supersede(rival: RivalOrder): void;
}

/**
 * Creates the race of one request.
 *
 * @example
 * const entry = race.enter();
 * entry.onDidSupersede(() => abort());
 */
export function createAttemptRace(): AttemptRace {
  const runners = new Set<Runner>();
  let nextOrder = 0;

  function enter(): RaceEntry {
    const listeners = new Set<(rival: RivalOrder) => void>();
    let isSuperseded = false;
    const runner: Runner = {
      order: nextOrder,
      supersede(rival) {
        isSuperseded = true;
        runners.delete(runner);
        [...listeners].forEach(listener => listener(rival));
      },
    };
    nextOrder += 1;
    runners.add(runner);

    return {
      lead() {
        if (isSuperseded || runners.size === 1) {
          return;
        }
        const rivals = [...runners].filter(other => other !== runner);
        for (const rival of rivals) {
          rival.supersede(runner.order < rival.order ? 'earlier' : 'later');
        }
      },
      isSuperseded: () => isSuperseded,
      onDidSupersede(listener) {
        listeners.add(listener);
        return {dispose: () => void listeners.delete(listener)};
      },
    };
  }

  return {enter};
}
