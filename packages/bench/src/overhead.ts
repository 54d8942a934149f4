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
/** Concurrent calls while throughput is measured. */
const CONCURRENCY = 64;
const WARM_UP_CALLS = 500;
const MICROSECONDS_PER_MS = 1000;

const SERVICE = 'booking';
const HEADERS = {authorization: `Bearer ${TRIAL_CUSTOMER_KEY}`};

/** Destination of measured calls: the endpoint directly, or the entry. */
interface Target {
  readonly name: 'direct' | 'entry';
  readonly pool: Pool;
  readonly path: string;
}

/**
 * Measures the latency and throughput of an entry of a trial fleet.
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
    return await measureTargets(fleet, seconds * 1000);
  } finally {
    await fleet.dispose();
  }
}

async function measureTargets(fleet: TrialFleet, runMs: number) {
  await fleet.store.put('service', SERVICE, serviceRecord, {type: 'any'});
  const entryUrl = await waitUntilServing(fleet, [SERVICE]);
  const endpointUrl = fleet.endpoints.get('b1')?.ready['url'] ?? '';
  const directTarget = createTarget('direct', endpointUrl, '/availability');
  const entryTarget = createTarget(
    'entry',
    entryUrl,
    `/services/${SERVICE}/availability`,
  );
  const targets = [directTarget, entryTarget];
  try {
    for (const target of targets) {
      await callRepeatedly(target, WARM_UP_CALLS);
    }
    const latencies = await measureLatencies(targets, runMs / 2);
    const throughput = await measureThroughput(
      entryTarget,
      fleet.entries[0]!,
      runMs / 2,
    );
    const medians = latencies.map(latency => latency.p50Ms);
    return {
      rows: latencies,
      addedMedianMs: (medians[1] ?? 0) - (medians[0] ?? 0),
      ...throughput,
    };
  } finally {
    await Promise.all(targets.map(target => target.pool.close()));
  }
}

function createTarget(name: Target['name'], url: string, path: string): Target {
  return {name, pool: new Pool(url, {connections: CONCURRENCY}), path};
}

/** Calls the targets in turn, so that the machine load is the same for all. */
async function measureLatencies(targets: readonly Target[], runMs: number) {
  const histograms = targets.map(() => buildHistogram());
  const endMs = performance.now() + runMs;
  while (performance.now() < endMs) {
    for (const [index, target] of targets.entries()) {
      await callOnce(target, histograms[index]);
    }
  }
  return targets.map((target, index) => {
    const histogram = histograms[index] as Histogram;
    return {
      target: target.name,
      calls: histogram.totalCount,
      p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p95Ms: histogram.getValueAtPercentile(95) / MICROSECONDS_PER_MS,
    };
  });
}

/** Makes concurrent calls and measures the processor time of the entry. */
async function measureThroughput(
  entryTarget: Target,
  entryProcess: TrialProcess,
  runMs: number,
) {
  const cpuBefore = await fetchCpuSeconds(entryProcess);
  const startMs = performance.now();
  const endMs = startMs + runMs;
  let callCount = 0;
  async function callUntilEnd(): Promise<void> {
    while (performance.now() < endMs) {
      await callOnce(entryTarget);
      callCount += 1;
    }
  }
  await Promise.all(Array.from({length: CONCURRENCY}, callUntilEnd));
  const seconds = (performance.now() - startMs) / 1000;
  const cpuSeconds = (await fetchCpuSeconds(entryProcess)) - cpuBefore;
  return {
    callsPerSecond: callCount / seconds,
    callsPerCoreSecond: callCount / cpuSeconds,
    coresUsed: cpuSeconds / seconds,
  };
}

async function callRepeatedly(
  target: Target,
  callCount: number,
): Promise<void> {
  for (let call = 0; call < callCount; call++) {
    await callOnce(target);
  }
}

async function callOnce(target: Target, histogram?: Histogram): Promise<void> {
  const startMs = performance.now();
  const reply = await target.pool.request({
    method: 'GET',
    path: target.path,
    headers: HEADERS,
  });
  const text = await reply.body.text();
  if (reply.statusCode !== 200) {
    throw new Error(
      `${target.name} call failed with ${reply.statusCode}: ${text}`,
    );
  }
  const elapsedMs = performance.now() - startMs;
  histogram?.recordValue(
    Math.max(1, Math.round(elapsedMs * MICROSECONDS_PER_MS)),
  );
}

async function fetchCpuSeconds(trialProcess: TrialProcess): Promise<number> {
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
