/**
 * Measures the speed of engines from the attempts of model requests. The time
 * that a slow host adds for a moment is left out.
 */
import type {EngineEstimate, EngineModel} from '@skylarkfield/capacity';
import type {Clock} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import {
  countOwnTokens,
  type ModelDemand,
  type Route,
} from '@skylarkfield/traffic';
import type {EventSink} from '../attempts/attemptResult.js';
import type {CallHead} from '../contracts.js';
import {createStepMeter} from './stepMeter.js';

/** The properties of a call that determine its work. */
export interface ObservedCall {
  readonly head: Pick<CallHead, 'demand'>;
  readonly route: Pick<Route, 'name' | 'goalMs' | 'timeoutMs'>;
  readonly service: string;
}

/** Observes one attempt of a model request. */
export interface AttemptObserver {
  /** Returns a sink that also measures the intervals of the events. */
  wrap(sink: EventSink): EventSink;
  /**
   * Records that the endpoint is silent. The time of its first event then tells
   * nothing about the speed of its engine.
   */
  recordStall(): void;
  /**
   * Records that the first event has arrived, after the load report that came
   * with it.
   */
  recordBegin(): void;
  /** Records that the attempt has ended. */
  recordEnd(): void;
}

/** Expected queueing delay of a request. */
export interface ExpectedWait {
  /** Expected delay, in milliseconds. */
  readonly ms: number;
  /** Maximum delay at which the response is still useful, in milliseconds. */
  readonly longestMs: number;
  readonly isTooLong: boolean;
}

export interface EngineObserver {
  /**
   * Returns the queueing delay to expect at the chosen endpoint; `leftMs` is
   * the time until the call's deadline, in milliseconds.
   */
  expectedWait(
    call: ObservedCall,
    choice: Choice,
    leftMs: number,
  ): ExpectedWait;
  /**
   * Starts to observe an attempt. `isFresh` is false for a resumed request, for
   * which the endpoint processes only a small part of the prompt.
   */
  observe(
    call: ObservedCall,
    choice: Choice,
    isFresh: boolean,
  ): AttemptObserver;
}

const NO_OBSERVER: AttemptObserver = {
  wrap: sink => sink,
  recordStall() {},
  recordBegin() {},
  recordEnd() {},
};

/**
 * Minimum number of events in a response for its step times to be recorded.
 */
const MIN_EVENTS = 3;

/**
 * Expected wait of plain requests, and of all requests to a service whose
 * engine estimate is not reliable yet.
 */
const NO_WAIT: ExpectedWait = {ms: 0, longestMs: Infinity, isTooLong: false};

/**
 * Maximum queueing delay as a fraction of the time until a request's deadline,
 * since the response takes time as well.
 */
const MAX_WAIT_FRACTION = 0.6;

/**
 * Creates the observer of one entry.
 *
 * @example
 * const attemptObserver = engineObserver.observe(call, choice, true);
 */
export function createEngineObserver(options: {
  readonly model: EngineModel;
  readonly clock: Clock;
  estimateFor(service: string): EngineEstimate;
  /** Whether the request fits into an engine's memory. */
  fitsKvCache(service: string, demand: ModelDemand): boolean;
  /** Tokens per event of the service's streams. */
  tokensPerEvent(service: string): number;
  /**
   * Called with the number of shared prompt tokens that are probably computed
   * again, since the endpoint has not cached them.
   */
  onDidRecompute(service: string, tokens: number): void;
}): EngineObserver {
  const {model, clock} = options;
  return {
    expectedWait({head, service}, {tokensAhead}, leftMs) {
      const estimate = options.estimateFor(service);
      // An unreliable estimate could cause callers to be rejected wrongly.
      if (head.demand === undefined || !estimate.isSure) {
        return NO_WAIT;
      }
      const ms = tokensAhead * estimate.usualTokenMs;
      const longestMs = leftMs * MAX_WAIT_FRACTION;
      return {ms, longestMs, isTooLong: ms > longestMs};
    },
    observe({head, route, service}, choice, isFresh) {
      const {demand} = head;
      if (demand === undefined || !options.fitsKvCache(service, demand)) {
        return NO_OBSERVER;
      }
      const ownTokenCount = countOwnTokens(demand);
      const uncachedTokens = Math.max(
        0,
        demand.promptTokens - choice.cachedTokens,
      );
      const rereadTokens = Math.max(0, uncachedTokens - ownTokenCount);
      const {loadBefore} = choice;
      const sentAt = clock.now();
      const stepMeter = createStepMeter(clock);
      let hasStalled = false;
      if (isFresh) {
        options.onDidRecompute(service, rereadTokens);
      }
      return {
        wrap: sink => ({
          ...sink,
          write(frame) {
            stepMeter.recordEvent(choice.slowness());
            return sink.write(frame);
          },
        }),
        recordStall: () => void (hasStalled = true),
        recordBegin() {
          if (!isFresh || hasStalled) {
            return;
          }
          model.recordPrompt({
            service,
            route: route.name,
            ownTokens: ownTokenCount,
            promptTokens: demand.promptTokens,
            rereadTokens,
            pendingTokens: choice.tokensAhead,
            tookMs: (clock.now() - sentAt) / choice.slowness(),
          });
        },
        recordEnd() {
          const eventCount = stepMeter.eventCount();
          const eventMs = stepMeter.eventIntervalMs();
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
