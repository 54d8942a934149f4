/** Draws a tick's requests of a move, summed by route and version. */
import type {Random} from '@skylarkfield/base';
import {LATENCY_OFFSET_MS} from '@skylarkfield/moves';
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Mix, MixRoute, Version} from './versions.js';

/** Sigma of log latency of single requests. */
const SIGMA = 0.5;

/** Load swings this often during a move, between these fractions. */
const SWINGS = 6;
const LOW_LOAD = 0.25;
const HIGH_LOAD = 0.95;
const FAULTY_LOAD = 0.8;

/** Latency rises by this factor from no load to full load, for both versions. */
const LOADED_LATENCY = 1.6;

/** Both versions fail and slow this much while something else is ill. */
const SHARED_ERROR_RATE = 0.3;
const SHARED_LATENCY_FACTOR = 3;
const SHARED_FROM = 0.3;
const SHARED_UNTIL = 0.36;
const ILL_INCUMBENT_FACTOR = 8;

export interface Shares {
  readonly share: number;
  readonly orderShare: number;
}

export interface Tick {
  readonly sums: readonly EvidenceSum[];
  /** Requests that the candidate got where its fault shows. */
  readonly badRequests: number;
}

/**
 * Draws the requests of one tick at the given part of the move's time.
 *
 * @example
 * const {sums} = drawTick(mix, version, {share: 0.01, orderShare: 0}, 0.2, 5, random);
 */
export function drawTick(
  mix: Mix,
  version: Version,
  shares: Shares,
  progress: number,
  seconds: number,
  random: Random,
): Tick {
  const swing = (1 - Math.cos(2 * Math.PI * SWINGS * progress)) / 2;
  const load = LOW_LOAD + (HIGH_LOAD - LOW_LOAD) * swing;
  const loadLevel = load >= 0.8 ? 'high' : load >= 0.5 ? 'middle' : 'low';
  const perSecond = mix.perSecond * (0.4 + 1.2 * swing);
  const sums: EvidenceSum[] = [];
  let badRequests = 0;
  for (const route of mix.routes) {
    const count = poisson(perSecond * seconds * route.part, random);
    const share = route.isOrder ? shares.orderShare : shares.share;
    const candidates = binomial(count, share, random);
    const isFaulty = showsFault(version, route, progress, load);
    badRequests += isFaulty ? candidates : 0;
    for (const [name, requests] of [
      ['v2', candidates],
      ['v1', count - candidates],
    ] as const) {
      if (requests === 0) {
        continue;
      }
      const isCandidate = name === 'v2';
      const health = healthOf(
        version,
        route,
        progress,
        load,
        isCandidate && isFaulty,
      );
      const errors = binomial(requests, health.errorRate, random);
      const successes = requests - errors;
      const shifted = health.medianMs + LATENCY_OFFSET_MS;
      const mean = Math.log(shifted);
      const sigma = (SIGMA * health.medianMs) / shifted;
      const noise = sigma * Math.sqrt(successes) * normal(random);
      const logLatency = successes * mean + noise;
      const within =
        sigma * sigma * chiSquare(Math.max(0, successes - 1), random);
      sums.push({
        route: route.name,
        version: name,
        loadLevel,
        isOrder: route.isOrder,
        requests,
        errors,
        logLatency,
        logLatencySquared:
          within + (successes > 0 ? logLatency ** 2 / successes : 0),
      });
    }
  }
  return {sums, badRequests};
}

function showsFault(
  version: Version,
  route: MixRoute,
  progress: number,
  load: number,
): boolean {
  if (!version.isBad || progress < version.onset) {
    return false;
  }
  if (version.isUnderLoadOnly && load < FAULTY_LOAD) {
    return false;
  }
  return version.route === undefined || version.route === route.name;
}

function healthOf(
  version: Version,
  route: MixRoute,
  progress: number,
  load: number,
  isFaulty: boolean,
) {
  let errorRate = route.errorRate;
  let medianMs = route.medianMs * LOADED_LATENCY ** load;
  if (version.kind === 'good, incumbent ill') {
    errorRate *= ILL_INCUMBENT_FACTOR;
  }
  const isShared = progress >= SHARED_FROM && progress < SHARED_UNTIL;
  if (version.kind === 'good, both ill for a while' && isShared) {
    errorRate = SHARED_ERROR_RATE;
    medianMs *= SHARED_LATENCY_FACTOR;
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
 * const latencyMs = medianMs * Math.exp(sigma * normal(random));
 */
export function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Above this mean the normal approximation is used. */
const EXACT_UNTIL = 30;

function poisson(mean: number, random: Random): number {
  if (mean > EXACT_UNTIL) {
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal(random)));
  }
  const limit = Math.exp(-mean);
  let count = 0;
  let product = random.next();
  while (product > limit) {
    count += 1;
    product *= random.next();
  }
  return count;
}

function binomial(count: number, chance: number, random: Random): number {
  if (count === 0 || chance <= 0) {
    return 0;
  }
  if (chance >= 1) {
    return count;
  }
  const mean = count * chance;
  if (mean > EXACT_UNTIL && count - mean > EXACT_UNTIL) {
    const drawn = mean + Math.sqrt(mean * (1 - chance)) * normal(random);
    return Math.min(count, Math.max(0, Math.round(drawn)));
  }
  if (chance > 0.5) {
    return count - binomial(count, 1 - chance, random);
  }
  // Geometric gaps between successes: work in proportion to the mean, not the count.
  const logMiss = Math.log(1 - chance);
  let position = -1;
  let successes = 0;
  for (;;) {
    position += 1 + Math.floor(Math.log(1 - random.next()) / logMiss);
    if (position >= count) {
      return successes;
    }
    successes += 1;
  }
}

function chiSquare(freedom: number, random: Random): number {
  if (freedom > EXACT_UNTIL) {
    return Math.max(0, freedom + Math.sqrt(2 * freedom) * normal(random));
  }
  let sum = 0;
  for (let index = 0; index < freedom; index++) {
    sum += normal(random) ** 2;
  }
  return sum;
}
