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
  /** Returns the factor on `perSecond` at the given time; 1 for none. */
  rateFactor(nowMs: number): number;
  readonly timeoutMs: number;
  readonly customers: readonly {readonly name: string; readonly part: number}[];
  readonly urgencies: readonly {
    readonly urgency: number;
    readonly part: number;
  }[];
}

/** Result of one request. */
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
  readonly endMs: number;
  readonly gates: readonly Gate[];
  readonly services: ReadonlyMap<string, ReplayService>;
  readonly streams: readonly ArrivalStream[];
  record(outcome: Outcome): void;
}

/** Probability that a request goes to the preferred entry of its customer. */
const AFFINITY_PROBABILITY = 0.6;

/**
 * Starts arrivals that continue until `endMs`.
 *
 * @example
 * startTraffic({clock, seed, endMs, gates, services, streams, record});
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
  function arrive() {
    if (clock.now() >= endMs) {
      return;
    }
    const customer = pickWeighted(stream.customers, random);
    const {urgency} = pickWeighted(stream.urgencies, random);
    const preferred = stream.customers.indexOf(customer) % gates.length;
    const chosen = random.chance(AFFINITY_PROBABILITY)
      ? preferred
      : random.integer(0, gates.length - 1);
    void sendRequest(
      options,
      stream,
      gates[chosen] as Gate,
      customer.name,
      urgency,
    );
    scheduleNext();
  }
  function scheduleNext() {
    const factor = stream.rateFactor(clock.now());
    clock.after(random.exponential(1000 / (stream.perSecond * factor)), arrive);
  }
  scheduleNext();
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
    options.record({
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
    const latency = () => clock.now() - startedMs;
    function cancel() {
      job.cancel();
      permit.release({outcome: 'cancelled', latencyMs: latency()});
      resolve('late');
    }
    const job = (services.get(service) as ReplayService).run(1, isOk => {
      signal.removeEventListener('abort', cancel);
      const outcome = isOk ? 'ok' : 'failed';
      permit.release({outcome, latencyMs: latency()});
      resolve(outcome);
    });
    if (signal.aborted) {
      cancel();
      return;
    }
    signal.addEventListener('abort', cancel, {once: true});
  });
}

function pickWeighted<T extends {readonly part: number}>(
  parts: readonly T[],
  random: Random,
): T {
  let remaining = random.next() * parts.reduce((sum, {part}) => sum + part, 0);
  for (const candidate of parts) {
    remaining -= candidate.part;
    if (remaining < 0) {
      return candidate;
    }
  }
  return parts.at(-1) as T;
}
