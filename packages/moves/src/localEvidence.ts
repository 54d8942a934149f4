/** What one entry sees of one move: sums to share, and its own look for plain faults. */
import type {Clock} from '@skylarkfield/base';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Move} from '@skylarkfield/records';
import type {Sample} from './contracts.js';
import {createEvidenceWindow, loadLevelOf} from './evidence.js';
import {createFaultDetector} from './faultDetector.js';

export interface LocalEvidence {
  /** Adds a request; the reason for a cut when the candidate shows a plain fault. */
  observe(sample: Sample): string | undefined;
  /** Sums since the last call. */
  take(): readonly EvidenceSum[];
  /** Shares have changed: what is pending may not be compared with what comes. */
  startOver(): void;
}

/**
 * Chance that one entry cuts a good version by itself. Each entry looks at its
 * own part of the traffic, so theirs add up.
 */
const FALSE_ALARM_CHANCE = 0.0003;
const WINDOW_MS = 1000;

/** Sums told apart between two calls of `take`; what goes beyond is judged locally only. */
const MOST_SUMS = 256;

/**
 * Added to each latency before its logarithm is taken. A candidate with a small
 * share gets few requests, so its connections are cold and each costs a
 * handshake more. On a route that answers in 2 ms that alone looks half as slow
 * again, and good versions were taken back for it.
 */
export const LATENCY_OFFSET_MS = 10;

type OpenSum = {-readonly [K in keyof EvidenceSum]: EvidenceSum[K]};

/**
 * Makes the local evidence of a move.
 *
 * @example
 * const why = evidence.observe(sample);
 */
export function createLocalEvidence(move: Move, clock: Clock): LocalEvidence {
  const windows = Math.ceil((move.deadline - clock.wall()) / WINDOW_MS);
  const detector = createFaultDetector({alpha: FALSE_ALARM_CHANCE, windows});
  const window = createEvidenceWindow(move.from, move.to);
  let pending = new Map<string, OpenSum>();
  let windowEndedAt = clock.now();

  function collect(sum: EvidenceSum) {
    const {route, version, loadLevel, isOrder} = sum;
    const id = [route, version, loadLevel, isOrder].join('\u0000');
    const known = pending.get(id);
    if (known === undefined) {
      if (pending.size < MOST_SUMS) {
        pending.set(id, {...sum});
      }
      return;
    }
    known.requests += sum.requests;
    known.errors += sum.errors;
    known.logLatency += sum.logLatency;
    known.logLatencySquared += sum.logLatencySquared;
  }

  return {
    observe(sample) {
      const sum = sumOf(sample);
      collect(sum);
      window.add([sum]);
      if (clock.now() - windowEndedAt < WINDOW_MS) {
        return undefined;
      }
      windowEndedAt = clock.now();
      return detector.add(window.takeComparable())?.why;
    },
    take() {
      const sums = [...pending.values()];
      pending = new Map();
      return sums;
    },
    startOver: () => window.clear(),
  };
}

/** A failed request's latency says how fast it failed, not how slow the version is. */
function sumOf(sample: Sample): EvidenceSum {
  const log = sample.isError
    ? 0
    : Math.log(LATENCY_OFFSET_MS + Math.max(0, sample.latencyMs));
  return {
    route: sample.route,
    version: sample.version,
    loadLevel: loadLevelOf(sample.loadFraction),
    isOrder: sample.isIdempotent === false,
    requests: 1,
    errors: sample.isError ? 1 : 0,
    logLatency: log,
    logLatencySquared: log * log,
  };
}
