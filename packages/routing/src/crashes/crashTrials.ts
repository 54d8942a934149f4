/** Trials of suspects whose quarantine has ended. */
import {rendezvousOrder, type Clock} from '@skylarkfield/base';

/** Trials of one entry. Of all entries, one runs the trials of a suspect. */
export interface CrashTrials {
  /** Sets the ids of the entries. */
  setEntries(entries: readonly string[]): void;
  /** Whether this entry may forward a request with the suspect now. */
  mayBegin(suspect: string): boolean;
  begin(suspect: string): void;
  /** Records that the last trial has a result. */
  end(suspect: string): void;
}

/** Time after which a trial without a result may be repeated, in ms. */
export const TRIAL_TIMEOUT_MS = 10_000;

/** Factor by which the timeout grows with each trial without a result. */
const TIMEOUT_GROWTH = 6;

interface Trials {
  /** Trials without a result. */
  readonly count: number;
  /** Monotonic milliseconds of the last one. */
  readonly startedAt: number;
}

/**
 * Creates the trials of one entry.
 *
 * @example
 * if (trials.mayBegin(suspect)) { trials.begin(suspect); }
 */
export function createCrashTrials(clock: Clock, self: string): CrashTrials {
  const trialsBySuspect = new Map<string, Trials>();
  let entries: readonly string[] = [self];

  function isRunning(suspect: string): boolean {
    const trials = trialsBySuspect.get(suspect);
    if (trials === undefined) {
      return false;
    }
    const timeoutMs = TRIAL_TIMEOUT_MS * TIMEOUT_GROWTH ** (trials.count - 1);
    return clock.now() - trials.startedAt < timeoutMs;
  }

  return {
    setEntries(ids) {
      entries = ids;
    },
    mayBegin: suspect =>
      rendezvousOrder(suspect, entries)[0] === self && !isRunning(suspect),
    begin(suspect) {
      const count = (trialsBySuspect.get(suspect)?.count ?? 0) + 1;
      trialsBySuspect.set(suspect, {count, startedAt: clock.now()});
    },
    end: suspect => void trialsBySuspect.delete(suspect),
  };
}
