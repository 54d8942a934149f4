/**
 * `overload`: one service at 1, 2 and 5 times its capacity, with load uneven
 * over the entries. Compares the limit policies of the admission package with
 * each other and with a FIFO pool, also while the record and the load reports
 * state four times the real capacity.
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
const LOADS = [1, 2, 5];
const GATES: readonly GateType[] = [
  'service-fifo',
  'fixed',
  'aimd',
  'gradient',
];

/** At 5 times the capacity, urgency 1 alone needs half of the capacity. */
const URGENCIES = [
  {urgency: 1, part: 0.1},
  {urgency: 3, part: 0.5},
  {urgency: 5, part: 0.4},
];

const record = createServiceRecord('match', {
  concurrency: SLOTS,
  queue: 100,
  targetMs: 250,
  timeoutMs: TIMEOUT_MS,
});

const overstatedRecord = {...record, concurrency: SLOTS * OVERSTATEMENT_FACTOR};

/**
 * Measures each gate at each load.
 *
 * @example
 * const report = await measureOverload({seed: 1000});
 */
export async function measureOverload(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const rows = [];
  for (const gate of GATES) {
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

/** Summarizes targets at 5 times the capacity: urgency 1, and all goodput. */
function summarize(rows: readonly Row[]) {
  return GATES.map(gate => {
    const own = rows.filter(row => row.gate === gate && !row.isOverstated);
    const peak = Math.max(...own.map(row => row.goodputPerSecond));
    const highestLoad = own.find(row => row.load === Math.max(...LOADS)) as Row;
    return {
      gate,
      mostImportantInTimeAt5x: highestLoad.inTimeUrgency1,
      totalGoodputAt5xOfPeak: highestLoad.goodputPerSecond / peak,
      wastedWorkAt5x: highestLoad.wastedWork,
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
        record: isOverstated ? overstatedRecord : record,
        slots: SLOTS,
        reportedSlots: isOverstated ? SLOTS * OVERSTATEMENT_FACTOR : SLOTS,
        meanMs: MEAN_SERVICE_MS,
      },
    ],
    streams: [
      {
        service: record.name,
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
  const counted = outcomes.filter(({arrivedMs}) => arrivedMs >= WARM_UP_MS);
  const ok = counted.filter(({result}) => result === 'ok');
  const refused = counted.filter(({result}) => result === 'refused');
  const work = services.get(record.name)?.work();
  return {
    goodputPerSecond: ok.length / (seconds - WARM_UP_MS / 1000),
    inTimeUrgency1: inTimeFraction(counted, 1),
    inTimeUrgency3: inTimeFraction(counted, 3),
    inTimeUrgency5: inTimeFraction(counted, 5),
    p95Urgency1Ms: quantile(
      ok.filter(({urgency}) => urgency === 1).map(({latencyMs}) => latencyMs),
      0.95,
    ),
    late: counted.filter(({result}) => result === 'late').length,
    refusedAtOnce:
      refused.filter(({latencyMs}) => latencyMs === 0).length /
      Math.max(1, refused.length),
    wastedWork:
      work === undefined ? 0 : work.wastedMs / Math.max(1, work.doneMs),
  };
}

function inTimeFraction(outcomes: readonly Outcome[], urgency: number): number {
  const own = outcomes.filter(outcome => outcome.urgency === urgency);
  return own.filter(({result}) => result === 'ok').length / own.length;
}
