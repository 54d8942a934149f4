/**
 * `isolation`: one of three services hangs, slows down, fails or is flooded.
 * Compares the two other services with a run of the same arrivals without a
 * disturbance, for the admission package and for one pool shared by all
 * services.
 */
import type {MeasureOptions} from './measurements.js';
import type {GateType} from './replay/gates.js';
import type {ServiceFault} from './replay/replayService.js';
import {
  quantile,
  createServiceRecord,
  runAdmissionReplay,
  defaultCustomers,
} from './replay/admissionReplay.js';

const DEFAULT_SECONDS = 40;
const FAULT_START_MS = 10_000;
const FAULT_END_FRACTION = 0.75;
const TIMEOUT_MS = 2000;
const FLOOD_FACTOR = 20;
const FAULTY_SERVICE = 'roster';
const GATE_TYPES: readonly GateType[] = ['shared-fifo', 'aimd'];

type Disturbance = Exclude<ServiceFault, 'none'> | 'flooded';
const DISTURBANCES: readonly Disturbance[] = [
  'hung',
  'slow',
  'failing',
  'flooded',
];

/** Each service has a utilization of about two thirds. */
const SERVICES = [
  {name: FAULTY_SERVICE, slots: 32, meanMs: 200, perSecond: 105},
  {name: 'booking', slots: 16, meanMs: 40, perSecond: 265},
  {name: 'match', slots: 24, meanMs: 150, perSecond: 105},
];

const URGENCIES = [
  {urgency: 1, weight: 0.2},
  {urgency: 3, weight: 0.8},
];

/**
 * Measures the latency and success rate of the undisturbed services with each
 * gate under each disturbance.
 *
 * @example
 * const report = await measureIsolation({seed: 1000});
 */
export async function measureIsolation(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const rows = [];
  for (const gate of GATE_TYPES) {
    const baselineFigures = await runCase(
      options.seed,
      seconds,
      gate,
      undefined,
    );
    for (const disturbance of DISTURBANCES) {
      const disturbedFigures = await runCase(
        options.seed,
        seconds,
        gate,
        disturbance,
      );
      for (const [index, disturbedService] of disturbedFigures.entries()) {
        const baseline = baselineFigures[index] as ServiceFigures;
        rows.push({
          gate,
          trouble: disturbance,
          service: disturbedService.service,
          p95Ms: disturbedService.p95Ms,
          p95Ratio: disturbedService.p95Ms / baseline.p95Ms,
          success: disturbedService.success,
          successUndisturbed: baseline.success,
        });
      }
    }
  }
  return {timeoutMs: TIMEOUT_MS, summary: summarize(rows), rows};
}

interface ServiceFigures {
  readonly service: string;
  readonly p95Ms: number;
  readonly success: number;
}

function summarize(
  rows: readonly {gate: GateType; p95Ratio: number; success: number}[],
) {
  return GATE_TYPES.map(gate => {
    const gateRows = rows.filter(row => row.gate === gate);
    return {
      gate,
      worstP95Ratio: Math.max(...gateRows.map(({p95Ratio}) => p95Ratio)),
      worstSuccess: Math.min(...gateRows.map(({success}) => success)),
    };
  });
}

/** Runs one case; returns the figures of the two undisturbed services. */
async function runCase(
  seed: number,
  seconds: number,
  gate: GateType,
  disturbance: Disturbance | undefined,
): Promise<ServiceFigures[]> {
  const faultEndMs = seconds * 1000 * FAULT_END_FRACTION;
  function isDuringFault(nowMs: number): boolean {
    return nowMs >= FAULT_START_MS && nowMs < faultEndMs;
  }
  const {outcomes} = await runAdmissionReplay({
    seed,
    seconds,
    gate,
    services: SERVICES.map(({name, slots, meanMs}) => ({
      record: createServiceRecord(name, {
        concurrency: slots,
        queue: 60,
        targetMs: meanMs * 3,
        timeoutMs: TIMEOUT_MS,
      }),
      slots,
      meanMs,
    })),
    streams: SERVICES.map(({name, perSecond}) => ({
      service: name,
      perSecond,
      rateFactor: nowMs =>
        disturbance === 'flooded' &&
        name === FAULTY_SERVICE &&
        isDuringFault(nowMs)
          ? FLOOD_FACTOR
          : 1,
      timeoutMs: TIMEOUT_MS,
      customers: defaultCustomers,
      urgencies: URGENCIES,
    })),
    scheduleFaults(clock, services) {
      if (disturbance === undefined || disturbance === 'flooded') {
        return;
      }
      const faultyService = services.get(FAULTY_SERVICE);
      clock.after(FAULT_START_MS, () => faultyService?.setFault(disturbance));
      clock.after(faultEndMs, () => faultyService?.setFault('none'));
    },
  });
  const countedOutcomes = outcomes.filter(({arrivedMs}) =>
    isDuringFault(arrivedMs),
  );
  return SERVICES.filter(({name}) => name !== FAULTY_SERVICE).map(({name}) => {
    const serviceOutcomes = countedOutcomes.filter(
      ({service}) => service === name,
    );
    const okOutcomes = serviceOutcomes.filter(({result}) => result === 'ok');
    return {
      service: name,
      p95Ms: quantile(
        okOutcomes.map(({latencyMs}) => latencyMs),
        0.95,
      ),
      success: okOutcomes.length / serviceOutcomes.length,
    };
  });
}
