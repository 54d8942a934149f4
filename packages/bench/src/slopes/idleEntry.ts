/** Measures the resource use of entry processes that receive no calls. */
import {setTimeout as delay} from 'node:timers/promises';
import {
  putTrialRecords,
  trialEngineEndpoint,
  trialServiceEndpoint,
} from '../processes/trialCalls.js';
import {TRIAL_ADMIN_KEY, startTrialFleet} from '../processes/trialFleet.js';
import {waitUntilServing} from '../processes/waitUntilServing.js';

const WINDOW_MS = 8_000;

interface ProcessDump {
  readonly process: {
    readonly memory: {readonly rss: number; readonly heapUsed: number};
    readonly cpu: {readonly user: number; readonly system: number};
  };
  readonly network: {
    readonly traffic: {
      readonly messagesSent: number;
      readonly messagesReceived: number;
      readonly bytesSent: number;
      readonly bytesReceived: number;
    };
  };
}

async function fetchDump(adminUrl: string): Promise<ProcessDump> {
  const response = await fetch(`${adminUrl}/dump`, {
    headers: {authorization: `Bearer ${TRIAL_ADMIN_KEY}`},
  });
  return (await response.json()) as ProcessDump;
}

/**
 * Measures seven entries with four endpoints for `WINDOW_MS`, without calls.
 * Returns the mean per entry; for memory, the maximum.
 *
 * @example
 * const {residentBytes} = await measureIdleEntries();
 */
export async function measureIdleEntries() {
  const fleet = await startTrialFleet({
    entryDomains: ['a', 'b', 'c', 'd', 'a', 'b', 'c'],
    endpoints: [
      trialEngineEndpoint('m1', 'a'),
      trialEngineEndpoint('m2', 'b'),
      trialServiceEndpoint('b1', 'a'),
      trialServiceEndpoint('b2', 'b'),
    ],
    settings: {log: {level: 'warn'}},
  });
  try {
    await putTrialRecords(fleet);
    await waitUntilServing(fleet, ['match', 'booking']);
    const adminUrls = fleet.entries.map(entry => entry.ready['admin'] ?? '');
    await delay(WINDOW_MS / 2);
    const dumpsBefore = await Promise.all(adminUrls.map(fetchDump));
    await delay(WINDOW_MS);
    const dumpsAfter = await Promise.all(adminUrls.map(fetchDump));
    return summarize(dumpsBefore, dumpsAfter);
  } finally {
    await fleet.dispose();
  }
}

function summarize(
  dumpsBefore: readonly ProcessDump[],
  dumpsAfter: readonly ProcessDump[],
) {
  const seconds = WINDOW_MS / 1_000;
  function meanPerSecond(readCounter: (dump: ProcessDump) => number): number {
    const sum = dumpsAfter.reduce(
      (total, dump, index) =>
        total + readCounter(dump) - readCounter(dumpsBefore[index]!),
      0,
    );
    return Math.round((sum / dumpsAfter.length / seconds) * 10) / 10;
  }
  const residentSizes = dumpsAfter.map(dump => dump.process.memory.rss);
  return {
    entries: dumpsAfter.length,
    endpoints: 4,
    residentBytes: Math.max(...residentSizes),
    cpuMicrosPerSecond: meanPerSecond(
      ({process: {cpu}}) => cpu.user + cpu.system,
    ),
    innerMessages: meanPerSecond(
      ({network: {traffic}}) => traffic.messagesSent + traffic.messagesReceived,
    ),
    innerBytes: meanPerSecond(
      ({network: {traffic}}) => traffic.bytesSent + traffic.bytesReceived,
    ),
  };
}
