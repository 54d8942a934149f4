/** Sees how fast engines answer, attempt by attempt. */
import type {EngineFigures, EngineModel} from '@skylarkfield/capacity';
import type {Clock} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import {ownTokens, type ModelDemand, type Route} from '@skylarkfield/traffic';
import type {EventSink} from './attempt.js';
import type {CallHead} from './contracts.js';
import {createStepMeter} from './stepMeter.js';

/** What of a call says how much work it is. */
export interface ObservedCall {
  readonly head: Pick<CallHead, 'demand'>;
  readonly route: Pick<Route, 'name' | 'goalMs' | 'timeoutMs'>;
  readonly service: string;
}

/** One attempt of a model request while it runs. */
export interface AttemptObserver {
  /** The same sink, watched. */
  watched(sink: EventSink): EventSink;
  noteBegin(): void;
  noteEnd(): void;
}

/** How long a request would wait for those before it. */
export interface ExpectedWait {
  readonly ms: number;
  /** The longest wait with which it is still of use. */
  readonly longestMs: number;
  readonly isTooLong: boolean;
}

export interface EngineObserver {
  /** The wait at the chosen endpoint for a caller who stays for so many milliseconds. */
  wait(call: ObservedCall, choice: Choice, leftMs: number): ExpectedWait;
  /** `isFresh` is false for a request that goes on from what ran elsewhere: it reads little of its prompt. */
  observe(
    call: ObservedCall,
    choice: Choice,
    isFresh: boolean,
  ): AttemptObserver;
}

const NO_OBSERVER: AttemptObserver = {
  watched: sink => sink,
  noteBegin() {},
  noteEnd() {},
};

/** Answers of fewer events say nothing of the steps between them. */
const MIN_EVENTS = 3;

/** No wait that anything is known of. */
const NO_WAIT: ExpectedWait = {ms: 0, longestMs: Infinity, isTooLong: false};

/** Part of a caller's time that a request may wait: the answer takes time as well. */
const MAX_WAIT_FRACTION = 0.6;

/**
 * Makes the observer of one entry.
 *
 * @example
 * const seen = engines.observe(call, choice, true);
 */
export function createEngineObserver(options: {
  readonly model: EngineModel;
  readonly clock: Clock;
  figures(service: string): EngineFigures;
  /** Whether an engine can hold the request at all. */
  fits(service: string, demand: ModelDemand): boolean;
  /** Tokens of an answer that one event of the service's streams holds. */
  tokensPerEvent(service: string): number;
  /** A prompt goes to an endpoint that is thought to read so many tokens of shared parts again. */
  onDidReread(service: string, tokens: number): void;
}): EngineObserver {
  const {model, clock} = options;
  return {
    wait({head, service}, {tokensAhead}, leftMs) {
      const figures = options.figures(service);
      // Before engines are known a guess would turn callers away.
      if (head.demand === undefined || !figures.isSure) {
        return NO_WAIT;
      }
      const ms = tokensAhead * figures.usualTokenMs;
      const longestMs = leftMs * MAX_WAIT_FRACTION;
      return {ms, longestMs, isTooLong: ms > longestMs};
    },
    observe({head, route, service}, choice, isFresh) {
      const {demand} = head;
      if (demand === undefined || !options.fits(service, demand)) {
        return NO_OBSERVER;
      }
      const own = ownTokens(demand);
      const uncached = Math.max(0, demand.promptTokens - choice.cachedTokens);
      const rereadTokens = Math.max(0, uncached - own);
      const {loadBefore} = choice;
      const sentAt = clock.now();
      const steps = createStepMeter(clock);
      if (isFresh) {
        options.onDidReread(service, rereadTokens);
      }
      return {
        watched: sink => ({
          ...sink,
          write(frame) {
            steps.noteEvent();
            return sink.write(frame);
          },
        }),
        noteBegin() {
          if (!isFresh) {
            return;
          }
          model.notePrompt({
            service,
            route: route.name,
            ownTokens: own,
            promptTokens: demand.promptTokens,
            rereadTokens,
            pendingTokens: choice.tokensAhead,
            tookMs: clock.now() - sentAt,
          });
        },
        noteEnd() {
          const events = steps.eventCount();
          const eventMs = steps.eventIntervalMs();
          if (events < MIN_EVENTS || eventMs === undefined) {
            return;
          }
          const perEvent = options.tokensPerEvent(service);
          model.noteAnswer({
            service,
            route: route.name,
            tokens: events * perEvent,
            stepMs: eventMs / perEvent,
            requests: loadBefore.requests + 1,
            contextTokens: loadBefore.contextTokens + demand.promptTokens,
            allowedMs: route.timeoutMs - route.goalMs,
          });
        },
      };
    },
  };
}
