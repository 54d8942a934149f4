/**
 * Evidence that one entry collects about one move: sums to broadcast to peers,
 * and fault detection on this entry.
 */
import type {Clock} from '@skylarkfield/base';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Move} from '@skylarkfield/records';
import type {RequestSample} from './contracts.js';
import {createEvidenceWindow, loadLevelOf} from './evidence.js';
import {createFaultDetector} from './faultDetector.js';

export interface LocalEvidence {
  /**
   * Records a request; returns the reason to cut the candidate if the evidence
   * now shows a fault, and undefined if not.
   */
  recordSample(sample: RequestSample): string | undefined;
  /** Returns the sums collected since the last call and clears them. */
  takeSums(): readonly EvidenceSum[];
  /** Drops the current window; called after a change of the traffic shares. */
  clearWindow(): void;
}

/**
 * Probability that one entry cuts a good version during a move. Each entry
 * tests only its part of the traffic, so the probabilities of all entries add
 * up.
 */
const FALSE_ALARM_PROBABILITY = 0.0003;
/** Minimum length of an evidence window, in milliseconds. */
const WINDOW_MS = 1000;

/**
 * Maximum number of sums to broadcast. Requests that would need a further sum
 * are only used for fault detection on this entry.
 */
const MAX_PENDING_SUMS = 256;

/**
 * Added to each latency before the logarithm is taken. A candidate with a small
 * share gets few requests, so most of them open a new connection. On a route of
 * 2 ms the handshake alone raised latency by half, and good versions were
 * rolled back.
 */
export const LATENCY_OFFSET_MS = 10;

/** The same for event intervals, which contain no handshake. */
const EVENT_INTERVAL_OFFSET_MS = 1;

type PendingSum = {-readonly [K in keyof EvidenceSum]: EvidenceSum[K]};

/**
 * Creates the evidence that this entry collects about a move.
 *
 * @example
 * const why = evidence.recordSample(sample);
 */
export function createLocalEvidence(move: Move, clock: Clock): LocalEvidence {
  const windowCount = Math.ceil((move.deadline - clock.wall()) / WINDOW_MS);
  const detector = createFaultDetector({
    alpha: FALSE_ALARM_PROBABILITY,
    windowCount,
  });
  const window = createEvidenceWindow(move.from, move.to);
  let pendingSums = new Map<string, PendingSum>();
  let windowStartedAt = clock.now();

  function addToPendingSums(sum: EvidenceSum) {
    const {route, version, loadLevel, isOrder, measure} = sum;
    const id = [route, version, loadLevel, isOrder, measure].join('\u0000');
    const existingSum = pendingSums.get(id);
    if (existingSum === undefined) {
      if (pendingSums.size < MAX_PENDING_SUMS) {
        pendingSums.set(id, {...sum});
      }
      return;
    }
    existingSum.requests += sum.requests;
    existingSum.errors += sum.errors;
    existingSum.logLatency += sum.logLatency;
    existingSum.logLatencySquared += sum.logLatencySquared;
  }

  return {
    recordSample(sample) {
      const sum = toEvidenceSum(sample);
      addToPendingSums(sum);
      window.add([sum]);
      if (clock.now() - windowStartedAt < WINDOW_MS) {
        return undefined;
      }
      windowStartedAt = clock.now();
      return detector.add(window.takeComparableStrata())?.why;
    },
    takeSums() {
      const sums = [...pendingSums.values()];
      pendingSums = new Map();
      return sums;
    },
    clearWindow: () => window.clear(),
  };
}

/**
 * Converts a request to evidence. The latency of a failed request is omitted
 * because it measures only how fast the request failed.
 */
function toEvidenceSum(sample: RequestSample): EvidenceSum {
  const isEventInterval = sample.measure === 'eventInterval';
  const offsetMs = isEventInterval
    ? EVENT_INTERVAL_OFFSET_MS
    : LATENCY_OFFSET_MS;
  const logLatency = sample.isError
    ? 0
    : Math.log(offsetMs + Math.max(0, sample.latencyMs));
  return {
    route: isEventInterval ? `${sample.route} between events` : sample.route,
    ...(isEventInterval && {measure: 'eventInterval' as const}),
    version: sample.version,
    loadLevel: loadLevelOf(sample.loadFraction),
    isOrder: sample.isIdempotent === false,
    requests: 1,
    errors: sample.isError ? 1 : 0,
    logLatency,
    logLatencySquared: logLatency * logLatency,
  };
}
