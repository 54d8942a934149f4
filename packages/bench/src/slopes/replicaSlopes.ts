/** Measures the cost to an entry per replica and per record. */
import net, {type AddressInfo, type Socket} from 'node:net';
import {createHttpEngine} from '@skylarkfield/endpoints';
import type {ListedEndpoint} from '@skylarkfield/providers';
import {encodeFrame, type Messages} from '@skylarkfield/protocol';
import {startEngineStandin} from '@skylarkfield/standins';

const POLL_COUNT = 1_000;
const LISTED_ENDPOINT_COUNT = 200;
/** Number of buckets of a record digest, as in the records package. */
const DIGEST_BUCKETS = 16;
const BUCKET_HASH = 0xfedc_ba98;

/** Starts a TCP proxy that counts the bytes in both directions. */
async function startCountingProxy(targetPort: number) {
  let bytes = 0;
  const sockets = new Set<Socket>();
  const server = net.createServer(downstream => {
    const upstream = net.connect(targetPort, '127.0.0.1');
    for (const [from, to] of [
      [downstream, upstream],
      [upstream, downstream],
    ] as const) {
      sockets.add(from);
      from.on('data', chunk => {
        bytes += chunk.length;
        to.write(chunk);
      });
      from.on('error', () => {});
      from.on('close', () => to.destroy());
    }
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    bytes: () => bytes,
    close() {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

/**
 * Measures one load poll of an engine: bytes in both directions, and processor
 * time of client and server together.
 *
 * @example
 * const {bytesPerPoll} = await measureLoadPolls();
 */
export async function measureLoadPolls() {
  const standin = await startEngineStandin({
    port: 0,
    host: '127.0.0.1',
    service: 'match',
    version: 'v1',
  });
  const countingProxy = await startCountingProxy(standin.port);
  const directEngine = createHttpEngine({url: standin.url});
  const proxiedEngine = createHttpEngine({
    url: `http://127.0.0.1:${countingProxy.port}`,
  });
  for (let warmUp = 0; warmUp < POLL_COUNT / 5; warmUp++) {
    await directEngine.load();
    await proxiedEngine.load();
  }
  const bytesBefore = countingProxy.bytes();
  for (let poll = 0; poll < POLL_COUNT; poll++) {
    await proxiedEngine.load();
  }
  const bytes = countingProxy.bytes() - bytesBefore;
  const cpuBefore = process.cpuUsage();
  for (let poll = 0; poll < POLL_COUNT; poll++) {
    await directEngine.load();
  }
  const usedCpu = process.cpuUsage(cpuBefore);
  directEngine.dispose();
  proxiedEngine.dispose();
  countingProxy.close();
  await standin.stop();
  return {
    polls: POLL_COUNT,
    bytesPerPoll: Math.round(bytes / POLL_COUNT),
    cpuMicrosPerPollBothSides: Math.round(
      (usedCpu.user + usedCpu.system) / POLL_COUNT,
    ),
  };
}

/**
 * Returns the encoded sizes of messages and list items.
 *
 * @example
 * const {recordBytes} = measureEncodedSizes();
 */
export function measureEncodedSizes() {
  return {
    recordBytes: countEncodedBytes('records', {
      records: [createExampleRecord()],
    }),
    digestBytes: countEncodedBytes('recordDigest', {
      count: 500,
      buckets: new Array<number>(DIGEST_BUCKETS).fill(BUCKET_HASH),
    }),
    confirmBytes: countEncodedBytes('recordsInForce', {
      records: [
        {kind: 'service', name: 'booking-thrissur', sourceVersion: 1_234_567},
      ],
      scope: 'self',
    }),
    leavingBytes: countEncodedBytes('endpointLeaving', {
      endpoints: ['replica-1042'],
      host: 'host-00417',
      goneAt: 1_800_000_000_000,
      isWhole: true,
    }),
    bytesPerListedEndpoint: Math.round(
      JSON.stringify(createExampleList()).length / LISTED_ENDPOINT_COUNT,
    ),
  };
}

function countEncodedBytes<T extends keyof Messages & string>(
  type: T,
  body: Messages[T],
): number {
  return encodeFrame({type, requestId: 0, body}).length;
}

/** Creates a service record, the record kind with the most fields. */
function createExampleRecord() {
  const route = {method: 'POST', pathPrefix: '/v1/shifts', isIdempotent: false};
  return {
    kind: 'service',
    name: 'booking-thrissur',
    sourceVersion: 1_234_567,
    isRemoved: false,
    value: {
      name: 'booking-thrissur',
      type: 'plain',
      version: '2026-11-30.2',
      routes: [route, {...route, method: 'GET', isIdempotent: true}],
      targetMs: 400,
      timeoutMs: 5_000,
      concurrency: 64,
      queue: 200,
      fleet: {
        minReplicas: 4,
        maxReplicas: 8,
        machineClass: 'cpu-8',
        weights: '',
      },
    },
  };
}

function createExampleList(): ListedEndpoint[] {
  return Array.from({length: LISTED_ENDPOINT_COUNT}, (_, index) => ({
    id: `replica-${1_000 + index}`,
    type: 'model' as const,
    service: 'roster-assistant',
    version: '2026-11-30.2',
    url: `http://10.20.${index}.7:8000`,
    host: `host-${10_000 + index}`,
    failureDomain: 'kerala-2',
    machineClass: 'gpu-8x80',
    checksFencing: true,
    state: 'live' as const,
  }));
}
