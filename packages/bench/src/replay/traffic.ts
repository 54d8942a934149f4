/** Callers of a replay: arrivals, customers, urgencies, and how each request ended. */
import {
  isServingError,
  seededRandom,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import type {Permit} from '@skylarkfield/admission';
import type {Gate} from './gates.js';
import type {ReplayService} from './replayService.js';

/** Requests for one service. */
export interface ArrivalStream {
  readonly service: string;
  readonly perSecond: number;
  /** Multiplies the rate while it returns more than 1. */
  rateFactor(nowMs: number): number;
  readonly timeoutMs: number;
  readonly customers: readonly {readonly name: string; readonly part: number}[];
  readonly urgencies: readonly {
    readonly urgency: number;
    readonly part: number;
  }[];
}

/** How one request ended. */
export interface Outcome {
  readonly service: string;
  readonly customer: string;
  readonly urgency: number;
  readonly arrivedMs: number;
  readonly latencyMs: number;
  readonly result: 'ok' | 'failed' | 'late' | 'refused';
  /** Time until the refusal, for those refused. */
  readonly startedMs: number | undefined;
}

export interface TrafficOptions {
  readonly clock: Clock;
  readonly seed: number;
  readonly untilMs: number;
  readonly gates: readonly Gate[];
  readonly services: ReadonlyMap<string, ReplayService>;
  readonly streams: readonly ArrivalStream[];
  record(outcome: Outcome): void;
}

/** Part of the requests that go to the entry that their customer's lookups prefer. */
const AFFINITY_PROBABILITY = 0.6;

/**
 * Starts the arrivals; they go on with the clock until the given time.
 *
 * @example
 * startTraffic({clock, seed, untilMs, gates, services, streams, record});
 */
export function startTraffic(options: TrafficOptions) {
  for (const [index, stream] of options.streams.entries()) {
    // Own random numbers for each stream keep its arrivals alike in runs that differ elsewhere.
    startStream(options, stream, seededRandom(options.seed * 101 + index));
  }
}

function startStream(
  options: TrafficOptions,
  stream: ArrivalStream,
  random: Random,
) {
  const {clock, gates, untilMs} = options;
  function arrive() {
    if (clock.now() >= untilMs) {
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
