/** Measures the resource use of real entry processes without calls. */
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

async function readDump(admin: string): Promise<ProcessDump> {
  const response = await fetch(`${admin}/dump`, {
    headers: {authorization: `Bearer ${TRIAL_ADMIN_KEY}`},
  });
  return (await response.json()) as ProcessDump;
}

/**
 * Measures seven entries with four endpoints over some idle seconds; returns
 * the mean per entry, and the maximum for memory.
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
    const admins = fleet.entries.map(entry => entry.ready['admin'] ?? '');
    await delay(WINDOW_MS / 2);
    const before = await Promise.all(admins.map(readDump));
    await delay(WINDOW_MS);
    const after = await Promise.all(admins.map(readDump));
    return summarize(before, after);
  } finally {
    await fleet.dispose();
  }
}

function summarize(
  before: readonly ProcessDump[],
  after: readonly ProcessDump[],
) {
  const seconds = WINDOW_MS / 1_000;
  function rate(read: (dump: ProcessDump) => number): number {
    const sum = after.reduce(
      (total, dump, index) => total + read(dump) - read(before[index]!),
      0,
    );
    return Math.round((sum / after.length / seconds) * 10) / 10;
  }
  const resident = after.map(dump => dump.process.memory.rss);
  return {
    entries: after.length,
    endpoints: 4,
    residentBytes: Math.max(...resident),
    cpuMicrosPerSecond: rate(({process: {cpu}}) => cpu.user + cpu.system),
    innerMessages: rate(
      ({network: {traffic}}) => traffic.messagesSent + traffic.messagesReceived,
    ),
    innerBytes: rate(
      ({network: {traffic}}) => traffic.bytesSent + traffic.bytesReceived,
    ),
  };
}
