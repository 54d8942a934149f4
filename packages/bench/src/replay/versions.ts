/** Seeded versions, good and bad in every way that matters, and users' traffic mixes. */
import type {Random} from '@skylarkfield/base';

/** One route of a mix. */
export interface MixRoute {
  readonly name: string;
  /** Part of the requests. */
  readonly part: number;
  readonly isOrder: boolean;
  readonly errorRate: number;
  readonly medianMs: number;
}

/** One service's traffic and the time that its moves get. */
export interface TrafficMix {
  readonly name: string;
  readonly perSecond: number;
  readonly hours: number;
  readonly routes: readonly MixRoute[];
}

export const mixes: readonly TrafficMix[] = [
  {
    name: 'namu',
    perSecond: 25,
    hours: 6,
    routes: [
      route('match', 0.45, 0.005, 600),
      route('lookup', 0.3, 0.004, 40),
      route('swatches', 0.15, 0.006, 120),
      route('kit-order', 0.1, 0.005, 150, true),
    ],
  },
  {
    name: 'sahakarana',
    perSecond: 14,
    hours: 10,
    routes: [
      route('roster', 0.2, 0.008, 1500),
      route('answers', 0.4, 0.005, 500),
      route('tags', 0.25, 0.005, 200),
      route('confirm', 0.15, 0.005, 120, true),
    ],
  },
  {
    name: 'quiet',
    perSecond: 1,
    hours: 24,
    routes: [
      route('ask', 0.6, 0.005, 300),
      route('list', 0.3, 0.005, 80),
      route('book', 0.1, 0.005, 150, true),
    ],
  },
  {
    name: 'very-quiet',
    perSecond: 0.1,
    hours: 48,
    routes: [
      route('ask', 0.8, 0.005, 300),
      route('book', 0.2, 0.005, 150, true),
    ],
  },
];

export type VersionKind =
  | 'good'
  | 'good, both ill for a while'
  | 'good, incumbent ill'
  | 'failing at once'
  | 'failing later'
  | 'failing under load'
  | 'failing on one route'
  | 'slow at once'
  | 'slow later'
  | 'slow under load'
  | 'slow on one route'
  | 'hanging';

/** Half of the versions are good, as most versions are. */
export const kinds: readonly {
  readonly kind: VersionKind;
  readonly part: number;
}[] = [
  {kind: 'good', part: 30},
  {kind: 'good, both ill for a while', part: 8},
  {kind: 'good, incumbent ill', part: 8},
  {kind: 'failing at once', part: 6},
  {kind: 'failing later', part: 6},
  {kind: 'failing under load', part: 6},
  {kind: 'failing on one route', part: 6},
  {kind: 'slow at once', part: 6},
  {kind: 'slow later', part: 6},
  {kind: 'slow under load', part: 6},
  {kind: 'slow on one route', part: 6},
  {kind: 'hanging', part: 6},
];

/** What is wrong with a version. */
export interface Version {
  readonly kind: VersionKind;
  readonly isBad: boolean;
  /** Factor on the error rate and on the latency where the fault shows. */
  readonly errorFactor: number;
  readonly latencyFactor: number;
  /** Part of the move's time after which the fault shows. */
  readonly onset: number;
  readonly isUnderLoadOnly: boolean;
  /** The only route with the fault; undefined for all. */
  readonly route: string | undefined;
}

/** Effects from just bad enough to gross. */
const ERROR_FACTORS = [2, 2.5, 4, 10, 50, 200];
const LATENCY_FACTORS = [1.5, 1.7, 2, 4, 10];

/** Latest onset of a fault that comes late, as a part of the move's time. */
const MAX_ONSET_RANGE = 0.8;

/**
 * Draws one version of a kind.
 *
 * @example
 * const version = drawVersion('slow later', mix, random);
 */
export function drawVersion(
  kind: VersionKind,
  mix: TrafficMix,
  random: Random,
): Version {
  const isFailing = kind.startsWith('failing');
  const isSlow = kind.startsWith('slow');
  const isHanging = kind === 'hanging';
  const worst = Math.max(...ERROR_FACTORS);
  return {
    kind,
    isBad: !kind.startsWith('good'),
    errorFactor: isHanging
      ? worst
      : isFailing
        ? pick(ERROR_FACTORS, random)
        : 1,
    latencyFactor: isSlow ? pick(LATENCY_FACTORS, random) : 1,
    onset: kind.endsWith('later') ? 0.02 + random.next() * MAX_ONSET_RANGE : 0,
    isUnderLoadOnly: kind.endsWith('under load'),
    route: kind.endsWith('one route')
      ? random.pick(mix.routes)?.name
      : undefined,
  };
}

function pick(values: readonly number[], random: Random): number {
  return random.pick(values) as number;
}

function route(
  name: string,
  part: number,
  errorRate: number,
  medianMs: number,
  isOrder = false,
): MixRoute {
  return {name, part, errorRate, medianMs, isOrder};
}
