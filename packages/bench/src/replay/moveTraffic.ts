/** Simulates the requests of a move per tick, summed by route and version. */
import type {Random} from '@skylarkfield/base';
import {LATENCY_OFFSET_MS} from '@skylarkfield/moves';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {TrafficMix, MixRoute, Version} from './versions.js';

/** Standard deviation of the log latency of single requests. */
const LATENCY_SIGMA = 0.5;

/** Load cycles per move, and the range of the load (1 is full load). */
const LOAD_CYCLES = 6;
const MIN_LOAD = 0.25;
const MAX_LOAD = 0.95;
/** Load from which faults of the `under load` kinds are active. */
const LOAD_FAULT_THRESHOLD = 0.8;

/** Latency factor from no load to full load, for both versions. */
const FULL_LOAD_LATENCY_FACTOR = 1.6;

/** Fault shared by both versions; start and end are fractions of the move. */
const SHARED_FAULT_ERROR_RATE = 0.3;
const SHARED_FAULT_LATENCY_FACTOR = 3;
const SHARED_FAULT_START = 0.3;
const SHARED_FAULT_END = 0.36;
const FAULTY_INCUMBENT_ERROR_FACTOR = 8;

/** Fractions of the requests and of the orders sent to the new version. */
export interface Shares {
  readonly share: number;
  readonly orderShare: number;
}

export interface Tick {
  readonly sums: readonly EvidenceSum[];
  /** Requests to the new version on routes on which its fault is active. */
  readonly badRequests: number;
}

/**
 * Draws the requests of one tick at the given fraction of the move.
 *
 * @example
 * const shares = {share: 0.01, orderShare: 0};
 * const {sums} = drawTick(mix, version, shares, 0.2, 5, random);
 */
export function drawTick(
  mix: TrafficMix,
  version: Version,
  shares: Shares,
  progress: number,
  seconds: number,
  random: Random,
): Tick {
  const loadCycle = (1 - Math.cos(2 * Math.PI * LOAD_CYCLES * progress)) / 2;
  const load = MIN_LOAD + (MAX_LOAD - MIN_LOAD) * loadCycle;
  const loadLevel = load >= 0.8 ? 'high' : load >= 0.5 ? 'middle' : 'low';
  const requestsPerSecond = mix.perSecond * (0.4 + 1.2 * loadCycle);
  const sums: EvidenceSum[] = [];
  let badRequests = 0;
  for (const route of mix.routes) {
    const count = drawPoisson(
      requestsPerSecond * seconds * route.requestFraction,
      random,
    );
    const share = route.isOrder ? shares.orderShare : shares.share;
    const candidateRequests = drawBinomial(count, share, random);
    const isFaulty = isFaultActive(version, route, progress, load);
    badRequests += isFaulty ? candidateRequests : 0;
    for (const [name, requests] of [
      ['v2', candidateRequests],
      ['v1', count - candidateRequests],
    ] as const) {
      if (requests === 0) {
        continue;
      }
      const isCandidate = name === 'v2';
      const health = healthAt(
        version,
        route,
        progress,
        load,
        isCandidate && isFaulty,
      );
      const errors = drawBinomial(requests, health.errorRate, random);
      const successes = requests - errors;
      const shiftedMs = health.medianMs + LATENCY_OFFSET_MS;
      const meanLogLatency = Math.log(shiftedMs);
      const sigma = (LATENCY_SIGMA * health.medianMs) / shiftedMs;
      const logLatencyNoise = sigma * Math.sqrt(successes) * drawNormal(random);
      const logLatency = successes * meanLogLatency + logLatencyNoise;
      const squaredDeviations =
        sigma * sigma * drawChiSquare(Math.max(0, successes - 1), random);
      sums.push({
        route: route.name,
        version: name,
        loadLevel,
        isOrder: route.isOrder,
        requests,
        errors,
        logLatency,
        logLatencySquared:
          squaredDeviations + (successes > 0 ? logLatency ** 2 / successes : 0),
      });
    }
  }
  return {sums, badRequests};
}

function isFaultActive(
  version: Version,
  route: MixRoute,
  progress: number,
  load: number,
): boolean {
  if (!version.isBad || progress < version.onset) {
    return false;
  }
  if (version.isUnderLoadOnly && load < LOAD_FAULT_THRESHOLD) {
    return false;
  }
  return version.route === undefined || version.route === route.name;
}

function healthAt(
  version: Version,
  route: MixRoute,
  progress: number,
  load: number,
  isFaulty: boolean,
) {
  let errorRate = route.errorRate;
  let medianMs = route.medianMs * FULL_LOAD_LATENCY_FACTOR ** load;
  if (version.kind === 'good, incumbent ill') {
    errorRate *= FAULTY_INCUMBENT_ERROR_FACTOR;
  }
  const isSharedFault =
    progress >= SHARED_FAULT_START && progress < SHARED_FAULT_END;
  if (version.kind === 'good, both ill for a while' && isSharedFault) {
    errorRate = SHARED_FAULT_ERROR_RATE;
    medianMs *= SHARED_FAULT_LATENCY_FACTOR;
  }
  if (isFaulty) {
    errorRate = Math.min(1, errorRate * version.errorFactor);
    medianMs *= version.latencyFactor;
  }
  return {errorRate, medianMs};
}

/**
 * Draws from the standard normal distribution (Box-Muller).
 *
 * @example
 * const latencyMs = medianMs * Math.exp(sigma * drawNormal(random));
 */
export function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Largest mean or degrees of freedom sampled without normal approximation. */
const MAX_EXACT_MEAN = 30;

function drawPoisson(mean: number, random: Random): number {
  if (mean > MAX_EXACT_MEAN) {
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * drawNormal(random)));
  }
  const threshold = Math.exp(-mean);
  let count = 0;
  let product = random.next();
  while (product > threshold) {
    count += 1;
    product *= random.next();
  }
  return count;
}

function drawBinomial(
  count: number,
  probability: number,
  random: Random,
): number {
  if (count === 0 || probability <= 0) {
    return 0;
  }
  if (probability >= 1) {
    return count;
  }
  const mean = count * probability;
  if (mean > MAX_EXACT_MEAN && count - mean > MAX_EXACT_MEAN) {
    const drawn =
      mean + Math.sqrt(mean * (1 - probability)) * drawNormal(random);
    return Math.min(count, Math.max(0, Math.round(drawn)));
  }
  if (probability > 0.5) {
    return count - drawBinomial(count, 1 - probability, random);
  }
  // Draws geometric gaps between successes: O(mean) instead of O(count).
  const logFailureProbability = Math.log(1 - probability);
  let position = -1;
  let successes = 0;
  for (;;) {
    position +=
      1 + Math.floor(Math.log(1 - random.next()) / logFailureProbability);
    if (position >= count) {
      return successes;
    }
    successes += 1;
  }
}

function drawChiSquare(degreesOfFreedom: number, random: Random): number {
  if (degreesOfFreedom > MAX_EXACT_MEAN) {
    return Math.max(
      0,
      degreesOfFreedom + Math.sqrt(2 * degreesOfFreedom) * drawNormal(random),
    );
  }
  let sum = 0;
  for (let index = 0; index < degreesOfFreedom; index++) {
    sum += drawNormal(random) ** 2;
  }
  return sum;
}
