/**
 * `overhead`: cost of an entry for small calls to a plain service, with
 * separate processes on loopback: latency of sequential calls compared with
 * direct calls to the endpoint, and calls per second and core of the entry.
 */
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import type {MeasureOptions} from './measurements.js';
import type {TrialProcess} from './processes/childProcess.js';
import {
  startTrialFleet,
  TRIAL_ADMIN_KEY,
  TRIAL_CUSTOMER_KEY,
  type TrialFleet,
} from './processes/trialFleet.js';
import {waitUntilServing} from './processes/waitUntilServing.js';

const DEFAULT_SECONDS = 20;
/** Calls in flight while throughput is measured. */
const CONCURRENCY = 64;
const WARM_UP_CALLS = 500;
const MICROSECONDS_PER_MS = 1000;

const SERVICE = 'booking';
const HEADERS = {authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`};

/** Destination of calls. */
interface Target {
  readonly name: 'direct' | 'entry';
  readonly pool: Pool;
  readonly path: string;
}

/**
 * Measures latency and throughput on a trial fleet.
 *
 * @example
 * const report = await measureOverhead({seed: 1000});
 */
export async function measureOverhead(options: MeasureOptions) {
  const seconds = options.seconds ?? DEFAULT_SECONDS;
  const fleet = await startTrialFleet({
    entryDomains: ['a'],
    endpoints: [
      {
        id: 'b1',
        type: 'service',
        service: SERVICE,
        version: 'v1',
        failureDomain: 'a',
      },
    ],
    settings: {log: {level: 'warn'}},
  });
  try {
    return await measure(fleet, seconds * 1000);
  } finally {
    await fleet.dispose();
  }
}

async function measure(fleet: TrialFleet, runMs: number) {
  await fleet.store.put('service', SERVICE, serviceRecord, {type: 'any'});
  const entryUrl = await waitUntilServing(fleet, [SERVICE]);
  const endpointUrl = fleet.endpoints.get('b1')?.ready['url'] ?? '';
  const direct = createTarget('direct', endpointUrl, '/availability');
  const entry = createTarget(
    'entry',
    entryUrl,
    `/services/${SERVICE}/availability`,
  );
  const targets = [direct, entry];
  try {
    for (const each of targets) {
      await callRepeatedly(each, WARM_UP_CALLS);
    }
    const latencies = await measureLatencies(targets, runMs / 2);
    const throughput = await measureThroughput(
      entry,
      fleet.entries[0]!,
      runMs / 2,
    );
    const medians = latencies.map(each => each.p50Ms);
    return {
      rows: latencies,
      addedMedianMs: (medians[1] ?? 0) - (medians[0] ?? 0),
      ...throughput,
    };
  } finally {
    await Promise.all(targets.map(each => each.pool.close()));
  }
}

function createTarget(name: Target['name'], url: string, path: string): Target {
  return {name, pool: new Pool(url, {connections: CONCURRENCY}), path};
}

/** Calls the targets alternately, so that both see the same machine load. */
async function measureLatencies(targets: readonly Target[], runMs: number) {
  const histograms = targets.map(() => buildHistogram());
  const endAt = performance.now() + runMs;
  while (performance.now() < endAt) {
    for (const [index, each] of targets.entries()) {
      await callOnce(each, histograms[index]);
    }
  }
  return targets.map((each, index) => {
    const histogram = histograms[index] as Histogram;
    return {
      target: each.name,
      calls: histogram.totalCount,
      p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p95Ms: histogram.getValueAtPercentile(95) / MICROSECONDS_PER_MS,
    };
  });
}

/** Makes concurrent calls and measures the processor time of the entry. */
async function measureThroughput(
  entry: Target,
  entryProcess: TrialProcess,
  runMs: number,
) {
  const cpuBefore = await readCpuSeconds(entryProcess);
  const startedAt = performance.now();
  const endAt = startedAt + runMs;
  let calls = 0;
  async function callUntilEnd(): Promise<void> {
    while (performance.now() < endAt) {
      await callOnce(entry);
      calls += 1;
    }
  }
  await Promise.all(Array.from({length: CONCURRENCY}, callUntilEnd));
  const seconds = (performance.now() - startedAt) / 1000;
  const cpuSeconds = (await readCpuSeconds(entryProcess)) - cpuBefore;
  return {
    callsPerSecond: calls / seconds,
    callsPerCoreSecond: calls / cpuSeconds,
    coresUsed: cpuSeconds / seconds,
  };
}

async function callRepeatedly(target: Target, times: number): Promise<void> {
  for (let call = 0; call < times; call++) {
    await callOnce(target);
  }
}

async function callOnce(target: Target, histogram?: Histogram): Promise<void> {
  const startedAt = performance.now();
  const reply = await target.pool.request({
    method: 'GET',
    path: target.path,
    headers: HEADERS,
  });
  const text = await reply.body.text();
  if (reply.statusCode !== 200) {
    throw new Error(`${target.name}: ${reply.statusCode} ${text}`);
  }
  const elapsed = performance.now() - startedAt;
  histogram?.recordValue(
    Math.max(1, Math.round(elapsed * MICROSECONDS_PER_MS)),
  );
}

async function readCpuSeconds(trialProcess: TrialProcess): Promise<number> {
  const response = await fetch(`${trialProcess.ready['admin']}/dump`, {
    headers: {authorization: `Bearer ${TRIAL_ADMIN_KEY}`},
  });
  const dump = (await response.json()) as {
    process: {cpu: {user: number; system: number}};
  };
  const {user, system} = dump.process.cpu;
  return (user + system) / 1e6;
}

const serviceRecord = {
  schema: 1,
  type: 'plain',
  version: 'v1',
  targetMs: 300,
  timeoutMs: 10_000,
  concurrency: 1000,
  queue: 1000,
  routes: [{method: 'GET', pathPrefix: '/', idempotent: true}],
};
