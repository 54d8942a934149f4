/** Seeded replay of callers, entries with admission gates, and services. */
import {scheduleRepeatedly, seededRandom} from '@skylarkfield/base';
import type {Service} from '@skylarkfield/records';
import {gateFactories, type GateType} from './gates.js';
import {createReplayClock, type ReplayClock} from './replayClock.js';
import {createReplayService, type ReplayService} from './replayService.js';
import {startTraffic, type Outcome, type ArrivalStream} from './traffic.js';

export interface AdmissionReplayOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly gate: GateType;
  readonly services: readonly ReplayServiceSettings[];
  readonly streams: readonly ArrivalStream[];
  /** Called before the run starts, to schedule faults on the clock. */
  scheduleFaults?(
    clock: ReplayClock,
    services: Map<string, ReplayService>,
  ): void;
}

/** Service with its record and its real capacity. */
export interface ReplayServiceSettings {
  readonly record: Service;
  readonly slots: number;
  /** Slots that the endpoints report; default: the real number of slots. */
  readonly reportedSlots?: number;
  /** Mean service time of a job of cost 1. */
  readonly meanMs: number;
}

export interface AdmissionReplayResult {
  readonly outcomes: readonly Outcome[];
  readonly services: ReadonlyMap<string, ReplayService>;
}

/** Number of entries in the fleet of each modelled user. */
const ENTRY_COUNT = 7;

/** Interval of load reports, and their delay until they reach the entries. */
const REPORT_INTERVAL_MS = 500;
const REPORT_LAG_MS = 300;

/**
 * Runs a replay until the last request has ended or timed out.
 *
 * @example
 * const {outcomes} = await runAdmissionReplay({
 *   seed: 1, seconds: 30, gate: 'aimd', services, streams,
 * });
 */
export async function runAdmissionReplay(
  options: AdmissionReplayOptions,
): Promise<AdmissionReplayResult> {
  const clock = createReplayClock();
  const services = new Map(
    options.services.map(({record, slots, meanMs}, index) => [
      record.name,
      createReplayService(
        clock,
        seededRandom(options.seed * 7 + index),
        slots,
        meanMs,
      ),
    ]),
  );
  const gates = Array.from({length: ENTRY_COUNT}, (_, index) =>
    gateFactories[options.gate]({
      clock,
      random: seededRandom(options.seed * 13 + index),
      services: options.services.map(({record}) => record),
      entryCount: ENTRY_COUNT,
    }),
  );
  scheduleRepeatedly(clock, REPORT_INTERVAL_MS, () => {
    for (const {record, reportedSlots} of options.services) {
      const name = record.name;
      const service = services.get(name) as ReplayService;
      const slots = reportedSlots ?? service.slots();
      const busyJobs = service.busyJobs();
      clock.after(REPORT_LAG_MS, () => {
        for (const gate of gates) {
          gate.reportSlots(name, slots, busyJobs);
        }
      });
    }
  });
  options.scheduleFaults?.(clock, services);
  const endMs = options.seconds * 1000;
  const outcomes: Outcome[] = [];
  startTraffic({
    clock,
    seed: options.seed,
    endMs,
    gates,
    services,
    streams: options.streams,
    recordOutcome: outcome => outcomes.push(outcome),
  });
  const maxTimeoutMs = Math.max(
    ...options.streams.map(({timeoutMs}) => timeoutMs),
  );
  await clock.run(endMs + maxTimeoutMs + 1);
  return {outcomes, services};
}

/** Typical customers, weighted by their fraction of the requests. */
export const defaultCustomers = [
  {name: 'chain', weight: 0.45},
  {name: 'studio', weight: 0.3},
  {name: 'flooring', weight: 0.15},
  {name: 'carpenter', weight: 0.07},
  {name: 'counter', weight: 0.03},
];

/**
 * Returns the given quantile of the values; NaN for no values.
 *
 * @example
 * quantile([1, 2, 3, 4], 0.5); // 3
 */
export function quantile(values: readonly number[], fraction: number): number {
  const sortedValues = [...values].sort((a, b) => a - b);
  return (
    sortedValues[
      Math.min(
        sortedValues.length - 1,
        Math.floor(sortedValues.length * fraction),
      )
    ] ?? NaN
  );
}

/** Creates a service record for a replay. */
export function createServiceRecord(
  name: string,
  limits: Pick<Service, 'concurrency' | 'queue' | 'targetMs' | 'timeoutMs'>,
): Service {
  return {
    name,
    type: 'plain',
    version: 'v1',
    routes: [],
    ...limits,
    fleet: {minReplicas: 1, maxReplicas: 1, machineClass: 'small', weights: ''},
  };
}
