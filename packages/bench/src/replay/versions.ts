/** Simulated good and bad versions, and traffic mixes of services. */
import type {Random} from '@skylarkfield/base';

/** One route of a traffic mix. */
export interface MixRoute {
  readonly name: string;
  /** Fraction of the requests. */
  readonly requestFraction: number;
  readonly isOrder: boolean;
  readonly errorRate: number;
  readonly medianMs: number;
}

/** Traffic of one service and the duration of its moves. */
export interface TrafficMix {
  readonly name: string;
  readonly perSecond: number;
  readonly moveHours: number;
  readonly routes: readonly MixRoute[];
}

export const trafficMixes: readonly TrafficMix[] = [
  {
    name: 'namu',
    perSecond: 25,
    moveHours: 6,
    routes: [
      createRoute('match', 0.45, 0.005, 600),
      createRoute('lookup', 0.3, 0.004, 40),
      createRoute('swatches', 0.15, 0.006, 120),
      createRoute('kit-order', 0.1, 0.005, 150, true),
    ],
  },
  {
    name: 'sahakarana',
    perSecond: 14,
    moveHours: 10,
    routes: [
      createRoute('roster', 0.2, 0.008, 1500),
      createRoute('answers', 0.4, 0.005, 500),
      createRoute('tags', 0.25, 0.005, 200),
      createRoute('confirm', 0.15, 0.005, 120, true),
    ],
  },
  {
    name: 'quiet',
    perSecond: 1,
    moveHours: 24,
    routes: [
      createRoute('ask', 0.6, 0.005, 300),
      createRoute('list', 0.3, 0.005, 80),
      createRoute('book', 0.1, 0.005, 150, true),
    ],
  },
  {
    name: 'very-quiet',
    perSecond: 0.1,
    moveHours: 48,
    routes: [
      createRoute('ask', 0.8, 0.005, 300),
      createRoute('book', 0.2, 0.005, 150, true),
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

/** Kinds with weights that sum to 100; about half of the versions are good. */
export const versionKinds: readonly {
  readonly kind: VersionKind;
  readonly weight: number;
}[] = [
  {kind: 'good', weight: 30},
  {kind: 'good, both ill for a while', weight: 8},
  {kind: 'good, incumbent ill', weight: 8},
  {kind: 'failing at once', weight: 6},
  {kind: 'failing later', weight: 6},
  {kind: 'failing under load', weight: 6},
  {kind: 'failing on one route', weight: 6},
  {kind: 'slow at once', weight: 6},
  {kind: 'slow later', weight: 6},
  {kind: 'slow under load', weight: 6},
  {kind: 'slow on one route', weight: 6},
  {kind: 'hanging', weight: 6},
];

/** Simulated version and its fault. */
export interface Version {
  readonly kind: VersionKind;
  readonly isBad: boolean;
  /** Factors on the error rate and on the latency while the fault is active. */
  readonly errorFactor: number;
  readonly latencyFactor: number;
  /** Fraction of the move after which the fault is active. */
  readonly onset: number;
  readonly isUnderLoadOnly: boolean;
  /**
   * The only route with the fault; undefined when all routes have the fault.
   */
  readonly route: string | undefined;
}

/** Fault magnitudes from barely relevant to severe. */
const ERROR_FACTORS = [2, 2.5, 4, 10, 50, 200];
const LATENCY_FACTORS = [1.5, 1.7, 2, 4, 10];

/** Range of the onset of a late fault, as a fraction of the move. */
const ONSET_RANGE = 0.8;

/**
 * Draws a version of the given kind.
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
  const worstErrorFactor = Math.max(...ERROR_FACTORS);
  return {
    kind,
    isBad: !kind.startsWith('good'),
    errorFactor: isHanging
      ? worstErrorFactor
      : isFailing
        ? drawFactor(ERROR_FACTORS, random)
        : 1,
    latencyFactor: isSlow ? drawFactor(LATENCY_FACTORS, random) : 1,
    onset: kind.endsWith('later') ? 0.02 + random.next() * ONSET_RANGE : 0,
    isUnderLoadOnly: kind.endsWith('under load'),
    route: kind.endsWith('one route')
      ? random.pick(mix.routes)?.name
      : undefined,
  };
}

function drawFactor(values: readonly number[], random: Random): number {
  return random.pick(values) as number;
}

function createRoute(
  name: string,
  requestFraction: number,
  errorRate: number,
  medianMs: number,
  isOrder = false,
): MixRoute {
  return {name, requestFraction, errorRate, medianMs, isOrder};
}
