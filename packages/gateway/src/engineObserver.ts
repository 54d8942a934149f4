/** Observes the speed of engines, per attempt. */
import type {EngineEstimate, EngineModel} from '@skylarkfield/capacity';
import type {Clock} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import {ownTokens, type ModelDemand, type Route} from '@skylarkfield/traffic';
import type {EventSink} from './attempt.js';
import type {CallHead} from './contracts.js';
import {createStepMeter} from './stepMeter.js';

/** The properties of a call that determine its work. */
export interface ObservedCall {
  readonly head: Pick<CallHead, 'demand'>;
  readonly route: Pick<Route, 'name' | 'goalMs' | 'timeoutMs'>;
  readonly service: string;
}

/** Observes one attempt of a model request. */
export interface AttemptObserver {
  /** Returns a sink that also records the events. */
  wrap(sink: EventSink): EventSink;
  recordBegin(): void;
  recordEnd(): void;
}

/** Expected queueing delay of a request. */
export interface ExpectedWait {
  readonly ms: number;
  /** Maximum delay at which the response is still useful. */
  readonly longestMs: number;
  readonly isTooLong: boolean;
}

export interface EngineObserver {
  /** Returns the delay at an endpoint; `leftMs` is the time to the deadline. */
  expectedWait(
    call: ObservedCall,
    choice: Choice,
    leftMs: number,
  ): ExpectedWait;
  /** `isFresh` is false for a resumed request: little prompt is processed. */
  observe(
    call: ObservedCall,
    choice: Choice,
    isFresh: boolean,
  ): AttemptObserver;
}

const NO_OBSERVER: AttemptObserver = {
  wrap: sink => sink,
  recordBegin() {},
  recordEnd() {},
};

/** Minimum events of a response for measuring its steps. */
const MIN_EVENTS = 3;

/** Used when no delay can be estimated. */
const NO_WAIT: ExpectedWait = {ms: 0, longestMs: Infinity, isTooLong: false};

/**
 * Maximum fraction of a request's remaining time spent queueing, since the
 * response takes time as well.
 */
const MAX_WAIT_FRACTION = 0.6;

/**
 * Creates the observer of one entry.
 *
 * @example
 * const observer = engineObserver.observe(call, choice, true);
 */
export function createEngineObserver(options: {
  readonly model: EngineModel;
  readonly clock: Clock;
  estimateFor(service: string): EngineEstimate;
  /** Whether the request fits into an engine's memory. */
  fits(service: string, demand: ModelDemand): boolean;
  /** Tokens per event of the service's streams. */
  tokensPerEvent(service: string): number;
  /** Called with the shared prompt tokens that are likely computed again. */
  onDidReread(service: string, tokens: number): void;
}): EngineObserver {
  const {model, clock} = options;
  return {
    expectedWait({head, service}, {tokensAhead}, leftMs) {
      const estimate = options.estimateFor(service);
      // An unreliable estimate could reject callers wrongly.
      if (head.demand === undefined || !estimate.isSure) {
        return NO_WAIT;
      }
      const ms = tokensAhead * estimate.usualTokenMs;
      const longestMs = leftMs * MAX_WAIT_FRACTION;
      return {ms, longestMs, isTooLong: ms > longestMs};
    },
    observe({head, route, service}, choice, isFresh) {
      const {demand} = head;
      if (demand === undefined || !options.fits(service, demand)) {
        return NO_OBSERVER;
      }
      const ownTokenCount = ownTokens(demand);
      const uncachedTokens = Math.max(
        0,
        demand.promptTokens - choice.cachedTokens,
      );
      const rereadTokens = Math.max(0, uncachedTokens - ownTokenCount);
      const {loadBefore} = choice;
      const sentAt = clock.now();
      const steps = createStepMeter(clock);
      if (isFresh) {
        options.onDidReread(service, rereadTokens);
      }
      return {
        wrap: sink => ({
          ...sink,
          write(frame) {
            steps.recordEvent();
            return sink.write(frame);
          },
        }),
        recordBegin() {
          if (!isFresh) {
            return;
          }
          model.recordPrompt({
            service,
            route: route.name,
            ownTokens: ownTokenCount,
            promptTokens: demand.promptTokens,
            rereadTokens,
            pendingTokens: choice.tokensAhead,
            tookMs: clock.now() - sentAt,
          });
        },
        recordEnd() {
          const eventCount = steps.eventCount();
          const eventMs = steps.eventIntervalMs();
          if (eventCount < MIN_EVENTS || eventMs === undefined) {
            return;
          }
          const tokensPerEvent = options.tokensPerEvent(service);
          model.recordAnswer({
            service,
            route: route.name,
            tokens: eventCount * tokensPerEvent,
            stepMs: eventMs / tokensPerEvent,
            requests: loadBefore.requests + 1,
            contextTokens: loadBefore.contextTokens + demand.promptTokens,
            allowedMs: route.timeoutMs - route.goalMs,
          });
        },
      };
    },
  };
}
