/**
 * Computes the tables of docs/CAPACITY.md from docs/reports/slopes.json and
 * docs/reports/orderOwner.json.
 *
 *   node tools/capacity.mjs            prints the tables
 *   node tools/capacity.mjs --write    updates them in the page
 *   node tools/capacity.mjs --check    exits with 1 if the page is outdated
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import prettier from 'prettier';

const root = fileURLToPath(new URL('..', import.meta.url));
const pagePath = join(root, 'docs', 'CAPACITY.md');
const START_MARKER = '<!-- computed by tools/capacity.mjs -->';
const END_MARKER = '<!-- end of computed part -->';

/** Deployment for which the costs are computed, and its changes per day. */
const DEPLOYMENT = {
  entries: 1_700,
  replicas: 4_800,
  failureDomains: 10,
  changesPerDay: 8_300,
  entryChangesPerDay: 1_700 + 71,
};
/** Budget of one entry: bytes and CPU time per second, memory in bytes. */
const BUDGET = {bytes: 7_000, cpuMicros: 45_000, memory: 128e6};
const SECONDS_PER_DAY = 86_400;

/**
 * Ethernet, IP and TCP headers of a segment and of its acknowledgement, and the
 * WebSocket header; from the standards, not measured.
 */
const HEADER_BYTES = 66 + 66 + 6;

/** Values from the code; each comment names the constants and their files. */
const CODE_CONSTANTS = {
  /** Pushes sent, and received: PUSH_FANOUT in records/recordGossip. */
  pushFanout: 4,
  /** DIGEST_FANOUT in records/recordGossip, per second. */
  digestFanout: 2,
  /** Per replica; LOAD_INTERVAL_MS in entry/parts/endpointPolling allows 2. */
  pollsPerSecond: 1,
  /**
   * READERS_PER_FAILURE_DOMAIN in records/recordReaders, READERS_PER_DOMAIN in
   * members/readers.
   */
  readersPerDomain: 2,
  /** sweepIntervalMs and ownObjectCheckIntervalMs in members/timing. */
  sweepSeconds: 60,
  ownObjectSeconds: 600,
  /** DEFAULT_LEASE_TIMING in duties/lease. */
  renewSeconds: 2,
  pollLeaseSeconds: 1.5,
  /**
   * shardCount in orders/ledgerSettings, whose minWriteIntervalMs allows 12.5
   * writes per second.
   */
  shards: 8,
  shardWritesPerSecond: 10,
  /** maxShardBytes in orders/ledgerSettings. */
  maxShardBytes: 2_097_152,
};

const {
  idleEntry,
  sockets,
  loadPolls,
  sizes,
  members: membershipRuns,
} = JSON.parse(
  readFileSync(join(root, 'docs', 'reports', 'slopes.json'), 'utf8'),
);

const {owners: shardOwnerRuns} = JSON.parse(
  readFileSync(join(root, 'docs', 'reports', 'orderOwner.json'), 'utf8'),
);

/** Two largest simulated runs; heap per member is the slope between them. */
const largestRun = membershipRuns[membershipRuns.length - 1];
const secondLargestRun = membershipRuns[membershipRuns.length - 2];
const heapBytesPerMember =
  (largestRun.heapBytes - secondLargestRun.heapBytes) /
  (largestRun.entries - secondLargestRun.entries);

/**
 * Returns a cost item: messages sent and received, bytes and CPU time per
 * second, and memory in bytes.
 */
function costItem(name, mechanism, messages, bytes, cpuMicros, memory = 0) {
  return {name, mechanism, messages, bytes, cpuMicros, memory};
}

/** CPU time at one end of a connection: half of the sum of both ends. */
function messageCpuMicros(messages) {
  return (messages * sockets.cpuMicrosPerMessage) / 2;
}

function messageCostItem(name, mechanism, messages, bytesEach) {
  const bytes = messages * (bytesEach + HEADER_BYTES);
  return costItem(name, mechanism, messages, bytes, messageCpuMicros(messages));
}

const changesPerSecond = DEPLOYMENT.changesPerDay / SECONDS_PER_DAY;
const entryChangesPerSecond = DEPLOYMENT.entryChangesPerDay / SECONDS_PER_DAY;
const membersPerDomain = DEPLOYMENT.entries / DEPLOYMENT.failureDomains;

const commonCosts = [
  costItem(
    'process, idle, with 4 endpoints',
    'one loop, one thread',
    0,
    0,
    idleEntry.cpuMicrosPerSecond,
    idleEntry.residentBytes,
  ),
  costItem(
    'heartbeats',
    'rings of neighbours beyond 24 entries',
    largestRun.messages,
    largestRun.bytes + largestRun.messages * HEADER_BYTES,
    largestRun.cpuMicros + messageCpuMicros(largestRun.messages),
    heapBytesPerMember * DEPLOYMENT.entries +
      largestRun.neighbours * sockets.residentBytesPerConnectionEnd,
  ),
  costItem(
    'entries that start, leave or die',
    'news on heartbeats, at most 500 bytes each',
    0,
    entryChangesPerSecond * largestRun.bytesPerChange,
    0,
  ),
  messageCostItem(
    'configuration digests',
    'two peers a second compare sums',
    2 * CODE_CONSTANTS.digestFanout,
    sizes.digestBytes,
  ),
  messageCostItem(
    'configuration changes',
    'pushed once to four peers by each entry',
    2 * CODE_CONSTANTS.pushFanout * changesPerSecond,
    sizes.recordBytes,
  ),
  messageCostItem(
    'leaving endpoints',
    'passed on once to the neighbours; one host in a day',
    (2 * largestRun.neighbours * DEPLOYMENT.replicas) / SECONDS_PER_DAY,
    sizes.leavingBytes,
  ),
];

/**
 * Cost of a shard's owner at the highest sustainable order rate, at which the
 * shard's keys fill `maxShardBytes`; scaled from the highest measured rate.
 */
const busiestOwner = shardOwnerRuns[shardOwnerRuns.length - 1];
const fullShardRatio = CODE_CONSTANTS.maxShardBytes / busiestOwner.stateBytes;
const fullShardOwner = costItem(
  'owner of one full shard',
  'orders forwarded, one write for all that wait',
  (busiestOwner.messages + 2 * busiestOwner.platformWrites) * fullShardRatio,
  (busiestOwner.bytes +
    busiestOwner.platformBytes +
    (busiestOwner.messages + 2 * busiestOwner.platformWrites) * HEADER_BYTES) *
    fullShardRatio,
  busiestOwner.cpuMicros * fullShardRatio,
  busiestOwner.heapBytes * fullShardRatio,
);

const roleCosts = {
  'caller-facing node': [],
  'record reader': [
    messageCostItem(
      'confirming changes within its failure domain',
      'one reader asks its domain, not one holder all entries',
      2 * membersPerDomain * changesPerSecond,
      sizes.confirmBytes,
    ),
  ],
  'duty holder': [
    messageCostItem(
      'lease and its candidates',
      'one object, renewed every 2 s',
      2 / CODE_CONSTANTS.renewSeconds,
      sizes.recordBytes,
    ),
    messageCostItem(
      'asking the readers whether changes are in force',
      'two readers in each failure domain',
      2 *
        CODE_CONSTANTS.readersPerDomain *
        DEPLOYMENT.failureDomains *
        changesPerSecond,
      sizes.confirmBytes,
    ),
  ],
  'ledger-shard owner': [fullShardOwner],
};

function sumCosts(items) {
  return items.reduce(
    (total, item) => ({
      messages: total.messages + item.messages,
      bytes: total.bytes + item.bytes,
      cpuMicros: total.cpuMicros + item.cpuMicros,
      memory: total.memory + item.memory,
    }),
    {messages: 0, bytes: 0, cpuMicros: 0, memory: 0},
  );
}

function markdownTable(header, rows) {
  const cells = [header, header.map(() => '---'), ...rows];
  return cells.map(row => `| ${row.join(' | ')} |`).join('\n');
}

function formatCost({messages, bytes, cpuMicros, memory}) {
  return [
    messages.toFixed(2),
    bytes.toFixed(0),
    ((cpuMicros / 1e6) * 100).toFixed(3),
    (memory / 1e6).toFixed(1),
  ];
}

function costTable(items) {
  return markdownTable(
    ['part', 'mechanism', 'messages/s', 'bytes/s', 'CPU %', 'MB'],
    items.map(item => [item.name, item.mechanism, ...formatCost(item)]),
  );
}

function roleTable() {
  const rows = Object.entries(roleCosts).map(([name, roleItems]) => {
    const total = sumCosts([...commonCosts, ...roleItems]);
    return [
      name,
      ...formatCost(total),
      `${((total.bytes / BUDGET.bytes) * 100).toFixed(0)} % bytes, ${(
        (total.cpuMicros / BUDGET.cpuMicros) *
        100
      ).toFixed(0)} % CPU, ${((total.memory / BUDGET.memory) * 100).toFixed(
        0,
      )} % memory`,
    ];
  });
  return markdownTable(
    ['role', 'messages/s', 'bytes/s', 'CPU %', 'MB', 'of the budget'],
    rows,
  );
}

/**
 * Returns the cost of tracking replicas by load reports and host lists, and the
 * rate of load reports that the rest of the budget allows.
 */
function replicaTable() {
  const commonTotal = sumCosts(commonCosts);
  const remainingBytes = BUDGET.bytes - commonTotal.bytes;
  const pollBytes = loadPolls.bytesPerPoll + HEADER_BYTES;
  const pollsPerSecond = DEPLOYMENT.replicas * CODE_CONSTANTS.pollsPerSecond;
  const listBytes = DEPLOYMENT.replicas * sizes.bytesPerListedEndpoint;
  const listReadsPerSecond = DEPLOYMENT.replicas / SECONDS_PER_DAY;
  return markdownTable(
    ['what', 'bytes/s', 'CPU %'],
    [
      [
        `load reports of all ${DEPLOYMENT.replicas} replicas, every second (today)`,
        (pollsPerSecond * pollBytes).toFixed(0),
        (
          (pollsPerSecond * loadPolls.cpuMicrosPerPollBothSides) /
          2 /
          1e4
        ).toFixed(0),
      ],
      [
        `whole host list (${(listBytes / 1e6).toFixed(1)} MB) after each change, one per replica and day (today)`,
        (listBytes * listReadsPerSecond).toFixed(0),
        'not measured',
      ],
      [
        `reports a second that the rest of the budget holds: ${Math.floor(remainingBytes / pollBytes)}`,
        remainingBytes.toFixed(0),
        (
          ((remainingBytes / pollBytes) * loadPolls.cpuMicrosPerPollBothSides) /
          2 /
          1e4
        ).toFixed(1),
      ],
    ],
  );
}

function platformTable() {
  const readers = CODE_CONSTANTS.readersPerDomain * DEPLOYMENT.failureDomains;
  const startsPerSecond = entryChangesPerSecond;
  const rows = [
    ['accepted records', 'few readers per failure domain', readers, 0],
    ['reclaim notices (cloud)', 'few readers per failure domain', readers, 0],
    ['state of moves', 'a watch at every entry (today)', DEPLOYMENT.entries, 0],
    [
      'own member object',
      'looked at every 10 minutes',
      DEPLOYMENT.entries / CODE_CONSTANTS.ownObjectSeconds,
      0,
    ],
    [
      'entries that start and leave',
      'one write and one listing, one removal',
      startsPerSecond,
      2 * startsPerSecond,
    ],
    [
      'sweep of dead entries',
      'one entry',
      1 / CODE_CONSTANTS.sweepSeconds,
      startsPerSecond,
    ],
    [
      'leases of three duties',
      'three candidates each',
      (3 * 3) / CODE_CONSTANTS.pollLeaseSeconds,
      3 / CODE_CONSTANTS.renewSeconds,
    ],
    [
      'order ledger, at most',
      'one write for all claims waiting',
      0,
      CODE_CONSTANTS.shards * CODE_CONSTANTS.shardWritesPerSecond,
    ],
    [
      'configuration',
      'source, accepted form, two statuses',
      2 * changesPerSecond,
      4 * changesPerSecond,
    ],
  ];
  const reads = rows.reduce((total, row) => total + row[2], 0);
  const writes = rows.reduce((total, row) => total + row[3], 0);
  return markdownTable(
    ['what', 'mechanism', 'reads/s, a waiting watch as one', 'writes/s'],
    [...rows, ['sum', '', reads, writes]].map(row => [
      row[0],
      row[1],
      row[2].toFixed(2),
      row[3].toFixed(2),
    ]),
  );
}

function ownerTable() {
  return markdownTable(
    [
      'orders/s',
      'keys',
      'state bytes',
      'heap bytes',
      'messages/s',
      'bytes/s',
      'platform writes/s',
      'platform bytes/s',
      'CPU µs/s',
    ],
    shardOwnerRuns.map(run => [
      run.ordersPerSecond,
      run.entries,
      run.stateBytes,
      run.heapBytes,
      run.messages,
      run.bytes,
      run.platformWrites,
      run.platformBytes,
      run.cpuMicros,
    ]),
  );
}

function memberTable() {
  return markdownTable(
    [
      'entries',
      'neighbours',
      'messages/s',
      'bytes/s',
      'CPU µs/s',
      'heap bytes',
      'bytes per change',
      'first / last notices a kill, ms',
    ],
    membershipRuns.map(run => [
      run.entries,
      run.neighbours,
      run.messages,
      run.bytes,
      run.cpuMicros,
      run.heapBytes,
      run.bytesPerChange,
      `${run.firstNoticeMs} / ${run.lastNoticeMs}`,
    ]),
  );
}

const computedSection = [
  START_MARKER,
  '',
  '### Measured: membership per entry',
  '',
  memberTable(),
  '',
  `### Computed: what every entry spends at ${DEPLOYMENT.entries} entries`,
  '',
  costTable(commonCosts),
  '',
  '### Measured: owner of one shard of the order ledger, by its orders',
  '',
  ownerTable(),
  '',
  '### Computed: by role, without load reports and host list',
  '',
  roleTable(),
  '',
  '### Computed: replicas',
  '',
  replicaTable(),
  '',
  '### Computed: calls to the platform by all entries together',
  '',
  platformTable(),
  '',
  END_MARKER,
].join('\n');

/** Returns the page with a new computed section, formatted by prettier. */
async function withComputedSection(page) {
  const startIndex = page.indexOf(START_MARKER);
  const endIndex = page.indexOf(END_MARKER);
  if (startIndex < 0 || endIndex < 0) {
    throw new Error(`${pagePath} has no markers of a computed section`);
  }
  const newPage =
    page.slice(0, startIndex) +
    computedSection +
    page.slice(endIndex + END_MARKER.length);
  const prettierOptions = await prettier.resolveConfig(pagePath);
  return prettier.format(newPage, {...prettierOptions, filepath: pagePath});
}

if (process.argv.includes('--write')) {
  const page = readFileSync(pagePath, 'utf8');
  writeFileSync(pagePath, await withComputedSection(page));
} else if (process.argv.includes('--check')) {
  const page = readFileSync(pagePath, 'utf8');
  if ((await withComputedSection(page)) !== page) {
    console.error(
      'docs/CAPACITY.md is outdated: it differs from the results in docs/reports',
    );
    process.exit(1);
  }
} else {
  console.log(computedSection);
}
