/**
 * `isolation`: one of three services hangs, slows, fails or is flooded.
 * Compares the other two with an undisturbed run of the same arrivals, for the
 * admission package and for one pool shared by all services.
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
const GATES: readonly GateType[] = ['shared-fifo', 'aimd'];

type Trouble = Exclude<ServiceFault, 'none'> | 'flooded';
const TROUBLES: readonly Trouble[] = ['hung', 'slow', 'failing', 'flooded'];

/** Each service has a utilization of about two thirds. */
const SERVICES = [
  {name: FAULTY_SERVICE, slots: 32, meanMs: 200, perSecond: 105},
  {name: 'booking', slots: 16, meanMs: 40, perSecond: 265},
  {name: 'match', slots: 24, meanMs: 150, perSecond: 105},
];

const URGENCIES = [
  {urgency: 1, part: 0.2},
  {urgency: 3, part: 0.8},
];

/**
 * Measures each gate under each disturbance.
 *
 * @example
 * const report = await measureIsolation({seed: 1000});
 */
export async function measureIsolation(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const rows = [];
  for (const gate of GATES) {
    const baselineFigures = await runCase(
      options.seed,
      seconds,
      gate,
      undefined,
    );
    for (const trouble of TROUBLES) {
      const disturbedFigures = await runCase(
        options.seed,
        seconds,
        gate,
        trouble,
      );
      for (const [index, disturbed] of disturbedFigures.entries()) {
        const baseline = baselineFigures[index] as ServiceFigures;
        rows.push({
          gate,
          trouble,
          service: disturbed.service,
          p95Ms: disturbed.p95Ms,
          p95Ratio: disturbed.p95Ms / baseline.p95Ms,
          success: disturbed.success,
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
  return GATES.map(gate => {
    const own = rows.filter(row => row.gate === gate);
    return {
      gate,
      worstP95Ratio: Math.max(...own.map(({p95Ratio}) => p95Ratio)),
      worstSuccess: Math.min(...own.map(({success}) => success)),
    };
  });
}

/** Returns the figures of the other two services during the disturbance. */
async function runCase(
  seed: number,
  seconds: number,
  gate: GateType,
  trouble: Trouble | undefined,
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
        trouble === 'flooded' && name === FAULTY_SERVICE && isDuringFault(nowMs)
          ? FLOOD_FACTOR
          : 1,
      timeoutMs: TIMEOUT_MS,
      customers: defaultCustomers,
      urgencies: URGENCIES,
    })),
    scheduleFaults(clock, services) {
      if (trouble === undefined || trouble === 'flooded') {
        return;
      }
      const faultyService = services.get(FAULTY_SERVICE);
      clock.after(FAULT_START_MS, () => faultyService?.setFault(trouble));
      clock.after(faultEndMs, () => faultyService?.setFault('none'));
    },
  });
  const counted = outcomes.filter(({arrivedMs}) => isDuringFault(arrivedMs));
  return SERVICES.filter(({name}) => name !== FAULTY_SERVICE).map(({name}) => {
    const own = counted.filter(({service}) => service === name);
    const ok = own.filter(({result}) => result === 'ok');
    return {
      service: name,
      p95Ms: quantile(
        ok.map(({latencyMs}) => latencyMs),
        0.95,
      ),
      success: ok.length / own.length,
    };
  });
}
