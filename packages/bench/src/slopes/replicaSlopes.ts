/** Measures the cost per replica and per record for an entry. */
import net, {type AddressInfo, type Socket} from 'node:net';
import {createHttpEngine} from '@skylarkfield/endpoints';
import type {ListedEndpoint} from '@skylarkfield/providers';
import {encodeFrame, type Messages} from '@skylarkfield/protocol';
import {startEngineStandin} from '@skylarkfield/standins';

const POLLS = 1_000;
const LISTED_ENDPOINTS = 200;
/** Number of buckets of a record digest in the records package. */
const DIGEST_BUCKETS = 16;
const BUCKET_HASH = 0xfedc_ba98;

/** Starts a TCP proxy that counts the bytes in both directions. */
async function startCountingProxy(target: number) {
  let bytes = 0;
  const sockets = new Set<Socket>();
  const server = net.createServer(downstream => {
    const upstream = net.connect(target, '127.0.0.1');
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
  const counter = await startCountingProxy(standin.port);
  const direct = createHttpEngine({url: standin.url});
  const counted = createHttpEngine({url: `http://127.0.0.1:${counter.port}`});
  for (let warmUp = 0; warmUp < POLLS / 5; warmUp++) {
    await direct.load();
    await counted.load();
  }
  const before = counter.bytes();
  for (let poll = 0; poll < POLLS; poll++) {
    await counted.load();
  }
  const bytes = counter.bytes() - before;
  const cpu = process.cpuUsage();
  for (let poll = 0; poll < POLLS; poll++) {
    await direct.load();
  }
  const used = process.cpuUsage(cpu);
  direct.dispose();
  counted.dispose();
  counter.close();
  await standin.stop();
  return {
    polls: POLLS,
    bytesPerPoll: Math.round(bytes / POLLS),
    cpuMicrosPerPollBothSides: Math.round((used.user + used.system) / POLLS),
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
    recordBytes: encodedBytes('records', {records: [exampleRecord()]}),
    digestBytes: encodedBytes('recordDigest', {
      count: 500,
      buckets: new Array<number>(DIGEST_BUCKETS).fill(BUCKET_HASH),
    }),
    confirmBytes: encodedBytes('recordsInForce', {
      records: [
        {kind: 'service', name: 'booking-thrissur', sourceVersion: 1_234_567},
      ],
      scope: 'self',
    }),
    leavingBytes: encodedBytes('endpointLeaving', {
      endpoints: ['replica-1042'],
      host: 'host-00417',
      goneAt: 1_800_000_000_000,
      isWhole: true,
    }),
    bytesPerListedEndpoint: Math.round(
      JSON.stringify(exampleList()).length / LISTED_ENDPOINTS,
    ),
  };
}

function encodedBytes<T extends keyof Messages & string>(
  type: T,
  body: Messages[T],
): number {
  return encodeFrame({type, requestId: 0, body}).length;
}

/** Creates a service record, the record kind with the most fields. */
function exampleRecord() {
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

function exampleList(): ListedEndpoint[] {
  return Array.from({length: LISTED_ENDPOINTS}, (_, index) => ({
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
