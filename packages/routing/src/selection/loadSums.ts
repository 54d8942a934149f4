/** Sums of the loads of requests and entries on one endpoint. */
import type {EntryLoad} from '../contracts.js';

/** Load without requests. */
export const NO_LOAD: EntryLoad = {
  requests: 0,
  pendingTokens: 0,
  contextTokens: 0,
};

/**
 * Returns the load of one request.
 *
 * @example
 * requestLoad({pendingTokens: 900, contextTokens: 2_400, urgency: 5});
 */
export function requestLoad(request: {
  readonly pendingTokens: number;
  readonly contextTokens: number;
  readonly urgency: number;
}): EntryLoad {
  const {pendingTokens, contextTokens, urgency} = request;
  const load = {requests: 1, pendingTokens, contextTokens};
  if (pendingTokens === 0) {
    return load;
  }
  const pendingByUrgency = new Array<number>(urgency + 1).fill(0);
  pendingByUrgency[urgency] = pendingTokens;
  return {...load, pendingByUrgency};
}

/**
 * Adds two loads on one endpoint, such as those of two entries.
 *
 * @example
 * const all = loads.reduce(addLoads);
 */
export function addLoads(a: EntryLoad, b: EntryLoad): EntryLoad {
  if (a === NO_LOAD || b === NO_LOAD) {
    return a === NO_LOAD ? b : a;
  }
  const pendingByUrgency = addByUrgency(a.pendingByUrgency, b.pendingByUrgency);
  return {
    requests: a.requests + b.requests,
    pendingTokens: a.pendingTokens + b.pendingTokens,
    contextTokens: a.contextTokens + b.contextTokens,
    ...(pendingByUrgency && {pendingByUrgency}),
  };
}

/**
 * Adds pending tokens indexed by urgency; undefined if nothing is pending.
 *
 * @example
 * addByUrgency([0, 900], undefined); // [0, 900]
 */
export function addByUrgency(
  a: readonly number[] | undefined,
  b: readonly number[] | undefined,
): readonly number[] | undefined {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  const [longer, shorter] = a.length >= b.length ? [a, b] : [b, a];
  return longer.map((tokens, urgency) => tokens + (shorter[urgency] ?? 0));
}

/**
 * Returns the pending tokens that an endpoint computes before the prompt of a
 * new request of this urgency; all pending tokens when the load is not broken
 * down by urgency.
 *
 * @example
 * const tokens = tokensAhead(load.estimate(), 2);
 */
export function tokensAhead(load: EntryLoad, urgency: number): number {
  if (load.pendingByUrgency === undefined) {
    return load.pendingTokens;
  }
  return load.pendingByUrgency
    .slice(0, urgency + 1)
    .reduce((sum, tokens) => sum + tokens, 0);
}
