/**
 * How fast a service's engines are, learned from the requests that they serve.
 *
 * Engines differ by a factor of ten between customers and nobody declares their
 * speed. Taken for faster than they are, too few are kept and requests run into
 * their deadlines; taken for slower, they cost more than they bring.
 */
import type {Clock} from '@skylarkfield/base';
import {addPaces, scalePace} from './capacitySums.js';
import type {
  AnswerSample,
  CapacitySums,
  PaceSums,
  PromptSample,
} from './contracts.js';
import {createRegression, type Regression} from './regression.js';

/** What one entry has seen of engines. */
export interface EngineModel {
  notePrompt(sample: PromptSample): void;
  noteAnswer(sample: AnswerSample): void;
  /** What this entry has seen, for the others. */
  sums(): CapacitySums;
}

/** Half of what was seen this long ago still counts: endpoints and versions change. */
export const HALF_LIFE_MS = 20_000;

const PAIRS_UNIT = 1e6;
const CONTEXT_UNIT = 1e3;
const SECOND_MS = 1e3;

/**
 * A prompt behind others waits for reasons that are seen only in part, so it
 * counts for less than one that is read at once; under overload, when all wait,
 * they still count for so much.
 */
const LEAST_WEIGHT = 0.1;

/** The features of a prompt's reading time, in order. */
function promptFeatures(sample: PromptSample): number[] {
  const {ownTokens, promptTokens, rereadTokens, pendingTokens} = sample;
  const pairs = (ownTokens * promptTokens) / PAIRS_UNIT;
  return [ownTokens, pairs, rereadTokens, pendingTokens];
}
const PROMPT_FEATURES = 4;
/** Requests and context there; the step's time is the outcome, behind them. */
const ANSWER_FEATURES = 2;

interface ServiceState {
  readonly prompts: Regression;
  readonly answers: Regression;
  readonly paces: Map<string, NotedPace>;
}

interface NotedPace {
  readonly at: number;
  readonly sums: PaceSums;
}

/**
 * Makes the model of one entry, with nothing seen yet.
 *
 * @example
 * model.notePrompt({service: 'chat', route: 'r1', ownTokens: 900, ...rest, tookMs: 62});
 */
export function createEngineModel(clock: Clock): EngineModel {
  const services = new Map<string, ServiceState>();

  function stateOf(service: string): ServiceState {
    const known = services.get(service);
    if (known !== undefined) {
      return known;
    }
    const common = {clock, halfLifeMs: HALF_LIFE_MS};
    const state = {
      prompts: createRegression({...common, features: PROMPT_FEATURES}),
      answers: createRegression({...common, features: ANSWER_FEATURES}),
      paces: new Map(),
    };
    services.set(service, state);
    return state;
  }

  function notePace({paces}: ServiceState, sample: AnswerSample): void {
    const {route, tokens, allowedMs} = sample;
    const pace = (tokens * SECOND_MS) / Math.max(1, allowedMs);
    const now = clock.now();
    const last = paces.get(route);
    const own = {count: 1, tokens, total: pace, squares: pace * pace};
    const sums = last ? addPaces(aged(last), own) : own;
    paces.set(route, {at: now, sums});
  }

  function aged({at, sums}: NotedPace): PaceSums {
    return scalePace(sums, 2 ** ((at - clock.now()) / HALF_LIFE_MS));
  }

  return {
    notePrompt(sample) {
      const {prompts} = stateOf(sample.service);
      const {ownTokens, pendingTokens, route, tookMs} = sample;
      const clearPart = ownTokens / Math.max(1, ownTokens + pendingTokens);
      const weight = Math.max(LEAST_WEIGHT, clearPart ** 2);
      prompts.note(route, promptFeatures(sample), tookMs, weight);
    },
    noteAnswer(sample) {
      const state = stateOf(sample.service);
      const {route, requests, contextTokens, stepMs} = sample;
      const features = [requests, contextTokens / CONTEXT_UNIT];
      state.answers.note(route, features, stepMs);
      notePace(state, sample);
    },
    sums: () =>
      Object.fromEntries(
        [...services].map(([name, {prompts, answers, paces}]) => [
          name,
          {
            prompts: prompts.sums(),
            answers: answers.sums(),
            paces: Object.fromEntries(
              [...paces].map(([route, pace]) => [route, aged(pace)]),
            ),
          },
        ]),
      ),
  };
}
