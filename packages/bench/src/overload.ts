/**
 * `overload`: one service at 1, 2 and 5 times its capacity, with the load
 * uneven over the entries. Compares the limit policies of the admission package
 * with each other and with a FIFO pool. One more case per gate, at twice the
 * capacity, has a record and load reports that state four times the capacity.
 */
import type {MeasureOptions} from './measurements.js';
import type {GateType} from './replay/gates.js';
import type {Outcome} from './replay/traffic.js';
import {
  quantile,
  createServiceRecord,
  runAdmissionReplay,
  defaultCustomers,
  type AdmissionReplayResult,
} from './replay/admissionReplay.js';

const DEFAULT_SECONDS = 30;
const WARM_UP_MS = 5000;
const SLOTS = 28;
const MEAN_SERVICE_MS = 100;
const OVERSTATEMENT_FACTOR = 4;
const TIMEOUT_MS = 1000;
const CAPACITY_PER_SECOND = (SLOTS * 1000) / MEAN_SERVICE_MS;
/** Offered loads relative to the capacity of the service. */
const LOADS = [1, 2, 5];
const GATE_TYPES: readonly GateType[] = [
  'service-fifo',
  'fixed',
  'aimd',
  'gradient',
];

/** At 5 times the capacity, urgency 1 alone needs half of the capacity. */
const URGENCIES = [
  {urgency: 1, weight: 0.1},
  {urgency: 3, weight: 0.5},
  {urgency: 5, weight: 0.4},
];

const serviceRecord = createServiceRecord('match', {
  concurrency: SLOTS,
  queue: 100,
  targetMs: 250,
  timeoutMs: TIMEOUT_MS,
});

const overstatedRecord = {
  ...serviceRecord,
  concurrency: SLOTS * OVERSTATEMENT_FACTOR,
};

/**
 * Measures goodput, latency and wasted work with each gate at each load.
 *
 * @example
 * const report = await measureOverload({seed: 1000});
 */
export async function measureOverload(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const rows = [];
  for (const gate of GATE_TYPES) {
    for (const load of LOADS) {
      rows.push(await runCase(options.seed, seconds, gate, load, false));
    }
    rows.push(await runCase(options.seed, seconds, gate, 2, true));
  }
  return {
    capacityPerSecond: CAPACITY_PER_SECOND,
    timeoutMs: TIMEOUT_MS,
    summary: summarize(rows),
    rows,
  };
}

type Row = Awaited<ReturnType<typeof runCase>>;

/** Summarizes results at 5 times the capacity: urgency 1, and all goodput. */
function summarize(rows: readonly Row[]) {
  return GATE_TYPES.map(gate => {
    const gateRows = rows.filter(row => row.gate === gate && !row.isOverstated);
    const peakGoodput = Math.max(...gateRows.map(row => row.goodputPerSecond));
    const highestLoadRow = gateRows.find(
      row => row.load === Math.max(...LOADS),
    ) as Row;
    return {
      gate,
      mostImportantInTimeAt5x: highestLoadRow.inTimeUrgency1,
      totalGoodputAt5xOfPeak: highestLoadRow.goodputPerSecond / peakGoodput,
      wastedWorkAt5x: highestLoadRow.wastedWork,
    };
  });
}

async function runCase(
  seed: number,
  seconds: number,
  gate: GateType,
  load: number,
  isOverstated: boolean,
) {
  const result = await runAdmissionReplay({
    seed,
    seconds,
    gate,
    services: [
      {
        record: isOverstated ? overstatedRecord : serviceRecord,
        slots: SLOTS,
        reportedSlots: isOverstated ? SLOTS * OVERSTATEMENT_FACTOR : SLOTS,
        meanMs: MEAN_SERVICE_MS,
      },
    ],
    streams: [
      {
        service: serviceRecord.name,
        perSecond: CAPACITY_PER_SECOND * load,
        rateFactor: () => 1,
        timeoutMs: TIMEOUT_MS,
        customers: defaultCustomers,
        urgencies: URGENCIES,
      },
    ],
  });
  return {gate, load, isOverstated, ...describeResult(result, seconds)};
}

function describeResult(
  {outcomes, services}: AdmissionReplayResult,
  seconds: number,
) {
  const countedOutcomes = outcomes.filter(
    ({arrivedMs}) => arrivedMs >= WARM_UP_MS,
  );
  const okOutcomes = countedOutcomes.filter(({result}) => result === 'ok');
  const refusedOutcomes = countedOutcomes.filter(
    ({result}) => result === 'refused',
  );
  const work = services.get(serviceRecord.name)?.work();
  return {
    goodputPerSecond: okOutcomes.length / (seconds - WARM_UP_MS / 1000),
    inTimeUrgency1: inTimeFraction(countedOutcomes, 1),
    inTimeUrgency3: inTimeFraction(countedOutcomes, 3),
    inTimeUrgency5: inTimeFraction(countedOutcomes, 5),
    p95Urgency1Ms: quantile(
      okOutcomes
        .filter(({urgency}) => urgency === 1)
        .map(({latencyMs}) => latencyMs),
      0.95,
    ),
    late: countedOutcomes.filter(({result}) => result === 'late').length,
    refusedAtOnce:
      refusedOutcomes.filter(({latencyMs}) => latencyMs === 0).length /
      Math.max(1, refusedOutcomes.length),
    wastedWork:
      work === undefined ? 0 : work.wastedMs / Math.max(1, work.doneMs),
  };
}

function inTimeFraction(outcomes: readonly Outcome[], urgency: number): number {
  const outcomesOfUrgency = outcomes.filter(
    outcome => outcome.urgency === urgency,
  );
  return (
    outcomesOfUrgency.filter(({result}) => result === 'ok').length /
    outcomesOfUrgency.length
  );
}
