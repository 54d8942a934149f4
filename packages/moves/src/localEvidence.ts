/**
 * Evidence of one entry about one move: sums to broadcast, and local fault
 * detection.
 */
import type {Clock} from '@skylarkfield/base';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Move} from '@skylarkfield/records';
import type {RequestSample} from './contracts.js';
import {createEvidenceWindow, loadLevelOf} from './evidence.js';
import {createFaultDetector} from './faultDetector.js';

export interface LocalEvidence {
  /** Adds a request; returns a reason to cut the candidate on a fault. */
  observe(sample: RequestSample): string | undefined;
  /** Returns and clears the sums since the last call. */
  takeSums(): readonly EvidenceSum[];
  /** Drops the pending window after a change of the shares. */
  clearWindow(): void;
}

/**
 * Probability that one entry cuts a good version. Each entry tests its own part
 * of the traffic, so the probabilities of all entries add up.
 */
const FALSE_ALARM_PROBABILITY = 0.0003;
const WINDOW_MS = 1000;

/** Upper bound of pending sums; requests beyond it are only tested locally. */
const MAX_PENDING_SUMS = 256;

/**
 * Added to each latency before its logarithm is taken. A candidate with a small
 * share gets few requests, so most of them open a new connection. On a route of
 * 2 ms the handshake alone raised latency by half, and good versions were
 * rolled back.
 */
export const LATENCY_OFFSET_MS = 10;

type PendingSum = {-readonly [K in keyof EvidenceSum]: EvidenceSum[K]};

/**
 * Creates the local evidence of a move.
 *
 * @example
 * const why = evidence.observe(sample);
 */
export function createLocalEvidence(move: Move, clock: Clock): LocalEvidence {
  const windowCount = Math.ceil((move.deadline - clock.wall()) / WINDOW_MS);
  const detector = createFaultDetector({
    alpha: FALSE_ALARM_PROBABILITY,
    windowCount,
  });
  const window = createEvidenceWindow(move.from, move.to);
  let pending = new Map<string, PendingSum>();
  let windowEndedAt = clock.now();

  function addPending(sum: EvidenceSum) {
    const {route, version, loadLevel, isOrder} = sum;
    const id = [route, version, loadLevel, isOrder].join('\u0000');
    const existing = pending.get(id);
    if (existing === undefined) {
      if (pending.size < MAX_PENDING_SUMS) {
        pending.set(id, {...sum});
      }
      return;
    }
    existing.requests += sum.requests;
    existing.errors += sum.errors;
    existing.logLatency += sum.logLatency;
    existing.logLatencySquared += sum.logLatencySquared;
  }

  return {
    observe(sample) {
      const sum = evidenceOf(sample);
      addPending(sum);
      window.add([sum]);
      if (clock.now() - windowEndedAt < WINDOW_MS) {
        return undefined;
      }
      windowEndedAt = clock.now();
      return detector.add(window.takeComparable())?.why;
    },
    takeSums() {
      const sums = [...pending.values()];
      pending = new Map();
      return sums;
    },
    clearWindow: () => window.clear(),
  };
}

/** Omits the latency of failed requests, which measures the failure only. */
function evidenceOf(sample: RequestSample): EvidenceSum {
  const logLatency = sample.isError
    ? 0
    : Math.log(LATENCY_OFFSET_MS + Math.max(0, sample.latencyMs));
  return {
    route: sample.route,
    version: sample.version,
    loadLevel: loadLevelOf(sample.loadFraction),
    isOrder: sample.isIdempotent === false,
    requests: 1,
    errors: sample.isError ? 1 : 0,
    logLatency,
    logLatencySquared: logLatency * logLatency,
  };
}
