/** What is known of services' engines and of the work for them, from all entries. */
import type {Clock, Logger} from '@skylarkfield/base';
import {
  addCapacity,
  createEngineModel,
  createOutcomeMeter,
  engineFigures,
  latePart,
  plannedUse,
  type CapacitySums,
  type EngineFigures,
  type EngineModel,
  type OutcomeMeter,
  type RouteAim,
  type WorkRate,
} from '@skylarkfield/capacity';
import type {RouteWeights} from '@skylarkfield/routing';
import {
  addWork,
  createWorkMeter,
  NO_WORK,
  workMs,
  type DemandSigns,
  type WorkMeter,
} from '@skylarkfield/traffic';
import type {PeerReports} from './peerReports.js';

export interface EnginesView {
  readonly model: EngineModel;
  readonly outcomes: OutcomeMeter;
  readonly work: WorkMeter;
  figures(service: string): EngineFigures;
  /** Work for a service over all entries. */
  workOf(service: string): WorkRate;
  /** How much this service is asked for, and how its callers fare. */
  signs(service: string): Omit<DemandSigns, 'present'>;
  /** What a choice among its endpoints weighs; undefined for a plain service. */
  routeWeights(service: string): Partial<RouteWeights> | undefined;
  /** What this entry has seen, for the others; undefined when they were told lately. */
  unpublishedCapacity(): CapacitySums | undefined;
  /** What all entries have seen. */
  fleetCapacity(): CapacitySums;
  dump(): unknown;
}

/** How often the figures are worked out anew, in milliseconds. */
const REFRESH_INTERVAL_MS = 1_000;

/** How often others are told, in milliseconds: what is learned changes slowly. */
const PUBLISH_INTERVAL_MS = 1_000;

/** Figures are logged again when the usual prompt's time has changed by this part. */
const LOGGED_CHANGE = 0.25;

/** The endpoint that a prefix belongs to is favoured by this many times the usual prompt's reading. */
const AFFINITY_PROMPTS = 1.5;

/** A prefix that is read again counts this many times its reading: it delays all answers beside it. */
const REREAD_WEIGHT = 4;

interface CachedFigures {
  readonly at: number;
  readonly figures: EngineFigures;
  readonly weights: Partial<RouteWeights>;
}

/**
 * Makes the view; `aims` are those of the routes to a service.
 *
 * @example
 * const engines = createEnginesView({clock, reports, log, recalled: memory.recalled, isModel, aims});
 */
export function createEnginesView(options: {
  readonly clock: Clock;
  readonly reports: PeerReports;
  readonly log: Logger;
  /** What was known before all entries were lost, as far as it still counts. */
  recalled(): CapacitySums;
  isModel(service: string): boolean;
  aims(service: string): readonly RouteAim[];
}): EnginesView {
  const {clock, reports, log} = options;
  const model = createEngineModel(clock);
  const outcomes = createOutcomeMeter(clock);
  const work = createWorkMeter(clock);
  const cache = new Map<string, CachedFigures>();
  const logged = new Map<string, EngineFigures>();
  let publishedAt = -Infinity;

  function fleetCapacity(): CapacitySums {
    return addCapacity([model.sums(), ...reports.capacity()]);
  }

  function computeFigures(service: string): CachedFigures {
    const all = addCapacity([fleetCapacity(), options.recalled()]);
    const figures = engineFigures(all[service], options.aims(service));
    return {at: clock.now(), figures, weights: routeWeightsFor(figures)};
  }

  function cachedFigures(service: string): CachedFigures {
    const last = cache.get(service);
    if (last !== undefined && clock.now() - last.at < REFRESH_INTERVAL_MS) {
      return last;
    }
    const fresh = computeFigures(service);
    cache.set(service, fresh);
    logChange(service, fresh.figures);
    return fresh;
  }

  /** Logs figures that are new, or far from those logged last. */
  function logChange(service: string, figures: EngineFigures): void {
    const last = logged.get(service);
    const ratio = last ? figures.usualPromptMs / last.usualPromptMs : Infinity;
    const isNear = Math.abs(ratio - 1) < LOGGED_CHANGE;
    if (isNear && figures.isSure === last?.isSure) {
      return;
    }
    logged.set(service, figures);
    log.info({service, ...figures}, 'engines known');
  }

  function workOf(service: string): WorkRate {
    const own = work.rates()[service] ?? NO_WORK;
    return addWork(own, reports.workOf(service));
  }

  function lateFraction(service: string): number {
    const parts = [outcomes.sums(), ...reports.outcomes()];
    return latePart(parts.flatMap(part => part[service] ?? []));
  }

  function demandSigns(service: string): Omit<DemandSigns, 'present'> {
    const {figures} = cachedFigures(service);
    return {
      workRate: workMs(workOf(service), figures),
      use: plannedUse(figures, options.aims(service)),
      latePart: lateFraction(service),
      isSure: figures.isSure,
    };
  }

  return {
    model,
    outcomes,
    work,
    figures: service => cachedFigures(service).figures,
    workOf,
    signs: demandSigns,
    routeWeights: service =>
      options.isModel(service) ? cachedFigures(service).weights : undefined,
    unpublishedCapacity() {
      if (clock.now() - publishedAt < PUBLISH_INTERVAL_MS) {
        return undefined;
      }
      publishedAt = clock.now();
      return model.sums();
    },
    fleetCapacity,
    dump: () =>
      Object.fromEntries(
        [...cache].map(([service, {figures}]) => [
          service,
          {...figures, ...demandSigns(service)},
        ]),
      ),
  };
}

function routeWeightsFor(figures: EngineFigures): Partial<RouteWeights> {
  const {usualTokenMs, usualPromptMs, usualAnswerTokens} = figures;
  return {
    knownMsPerToken: usualTokenMs,
    rereadPart: Math.min(1, figures.rereadTokenMs / usualTokenMs),
    uncached: REREAD_WEIGHT,
    perRequestMs: figures.requestStepMs * usualAnswerTokens,
    perContextTokenMs: (figures.contextStepMs * usualAnswerTokens) / 1_000,
    affinityMs: usualPromptMs * AFFINITY_PROMPTS,
  };
}
