/** Simulated callers: arrivals, customers, urgencies and request results. */
import {
  isServingError,
  seededRandom,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {Permit} from '@skylarkfield/admission';
import type {Gate} from './gates.js';
import type {ReplayService} from './replayService.js';

/** Arrival process of one service. */
export interface ArrivalStream {
  readonly service: string;
  readonly perSecond: number;
  /** Returns the factor on `perSecond` at the given time; 1 is no change. */
  rateFactor(nowMs: number): number;
  readonly timeoutMs: number;
  readonly customers: readonly {
    readonly name: string;
    readonly weight: number;
  }[];
  readonly urgencies: readonly {
    readonly urgency: number;
    readonly weight: number;
  }[];
}

/** Result of one request; `late` means that it timed out. */
export interface Outcome {
  readonly service: string;
  readonly customer: string;
  readonly urgency: number;
  readonly arrivedMs: number;
  readonly latencyMs: number;
  readonly result: 'ok' | 'failed' | 'late' | 'refused';
  /** Time of admission; undefined for requests that were not admitted. */
  readonly startedMs: number | undefined;
}

export interface TrafficOptions {
  readonly clock: Clock;
  readonly seed: number;
  /** Time at which arrivals stop. */
  readonly endMs: number;
  readonly gates: readonly Gate[];
  readonly services: ReadonlyMap<string, ReplayService>;
  readonly streams: readonly ArrivalStream[];
  recordOutcome(outcome: Outcome): void;
}

/** Probability that a request goes to the preferred entry of its customer. */
const AFFINITY_PROBABILITY = 0.6;

/**
 * Starts arrivals that continue until `endMs`.
 *
 * @example
 * startTraffic({
 *   clock, seed, endMs, gates, services, streams, recordOutcome,
 * });
 */
export function startTraffic(options: TrafficOptions) {
  for (const [index, stream] of options.streams.entries()) {
    // One generator per stream keeps arrivals equal between different runs.
    startStream(options, stream, seededRandom(options.seed * 101 + index));
  }
}

function startStream(
  options: TrafficOptions,
  stream: ArrivalStream,
  random: Random,
) {
  const {clock, gates, endMs} = options;
  function handleArrival() {
    if (clock.now() >= endMs) {
      return;
    }
    const customer = pickWeighted(stream.customers, random);
    const {urgency} = pickWeighted(stream.urgencies, random);
    const preferredIndex = stream.customers.indexOf(customer) % gates.length;
    const gateIndex = random.chance(AFFINITY_PROBABILITY)
      ? preferredIndex
      : random.integer(0, gates.length - 1);
    void sendRequest(
      options,
      stream,
      gates[gateIndex] as Gate,
      customer.name,
      urgency,
    );
    scheduleNextArrival();
  }
  function scheduleNextArrival() {
    const factor = stream.rateFactor(clock.now());
    clock.after(
      random.exponential(1000 / (stream.perSecond * factor)),
      handleArrival,
    );
  }
  scheduleNextArrival();
}

async function sendRequest(
  options: TrafficOptions,
  stream: ArrivalStream,
  gate: Gate,
  customer: string,
  urgency: number,
) {
  const {clock} = options;
  const arrivedMs = clock.now();
  const timeoutController = new AbortController();
  const timer = clock.after(stream.timeoutMs, () => timeoutController.abort());
  let startedMs: number | undefined;
  function recordOutcome(result: Outcome['result']) {
    timer.dispose();
    const latencyMs = clock.now() - arrivedMs;
    const {service} = stream;
    options.recordOutcome({
      service,
      customer,
      urgency,
      arrivedMs,
      latencyMs,
      result,
      startedMs,
    });
  }
  try {
    const deadline = arrivedMs + stream.timeoutMs;
    const {service} = stream;
    const permit = await gate.admit(
      {service, customer, urgency, deadline, cost: 1},
      timeoutController.signal,
    );
    startedMs = clock.now();
    recordOutcome(
      await callService(
        options,
        stream.service,
        permit,
        timeoutController.signal,
      ),
    );
  } catch (error) {
    recordOutcome(isServingError(error, 'cancelled') ? 'late' : 'refused');
  }
}

function callService(
  {clock, services}: TrafficOptions,
  service: string,
  permit: Permit,
  signal: AbortSignal,
): Promise<Outcome['result']> {
  const startedMs = clock.now();
  return new Promise(resolve => {
    const elapsedMs = () => clock.now() - startedMs;
    function cancel() {
      job.cancel();
      permit.release({outcome: 'cancelled', latencyMs: elapsedMs()});
      resolve('late');
    }
    const job = (services.get(service) as ReplayService).run(1, isOk => {
      signal.removeEventListener('abort', cancel);
      const outcome = isOk ? 'ok' : 'failed';
      permit.release({outcome, latencyMs: elapsedMs()});
      resolve(outcome);
    });
    if (signal.aborted) {
      cancel();
      return;
    }
    signal.addEventListener('abort', cancel, {once: true});
  });
}

function pickWeighted<T extends {readonly weight: number}>(
  candidates: readonly T[],
  random: Random,
): T {
  let remaining =
    random.next() * candidates.reduce((sum, {weight}) => sum + weight, 0);
  for (const candidate of candidates) {
    remaining -= candidate.weight;
    if (remaining < 0) {
      return candidate;
    }
  }
  return candidates.at(-1) as T;
}
