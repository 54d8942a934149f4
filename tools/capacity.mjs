/**
 * Computes the tables of docs/CAPACITY.md from docs/reports/slopes.json and
 * docs/reports/orderOwner.json.
 *
 *   node tools/capacity.mjs            prints the tables
 *   node tools/capacity.mjs --write    puts them into the page
 *   node tools/capacity.mjs --check    ends with code 1 when the page differs
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {join} from 'node:path';
import prettier from 'prettier';

const root = fileURLToPath(new URL('..', import.meta.url));
const pagePath = join(root, 'docs', 'CAPACITY.md');
const START = '<!-- computed by tools/capacity.mjs -->';
const END = '<!-- end of computed part -->';

const SIZE = {
  entries: 1_700,
  replicas: 4_800,
  failureDomains: 10,
  changesPerDay: 8_300,
  entryChangesPerDay: 1_700 + 71,
};
const BUDGET = {bytes: 7_000, cpuMicros: 45_000, memory: 128e6};
const SECONDS_PER_DAY = 86_400;

/** Bytes of Ethernet, IP and TCP heads of a segment and its acknowledgement, and the WebSocket head. By the standards, not measured. */
const HEAD_BYTES = 66 + 66 + 6;

/** Counts that the code fixes; each names its constant. */
const CODE = {
  /** PUSH_FANOUT in records/recordSpread: sent, and as many received. */
  pushFanout: 4,
  /** DIGEST_FANOUT in records/recordSpread, each second. */
  digestFanout: 2,
  /** LOAD_INTERVAL_MS in entry/enginesPart. */
  pollsPerSecond: 1,
  /** READERS_PER_FAILURE_DOMAIN in records and READERS_PER_DOMAIN in members. */
  readersPerDomain: 2,
  /** sweepMs and ownObjectMs in members/timing. */
  sweepSeconds: 60,
  ownObjectSeconds: 600,
  /** defaultLeaseTiming in duties/lease. */
  renewSeconds: 2,
  pollLeaseSeconds: 1.5,
  /** shardCount and LINGER_MS in orders/ledger. */
  shards: 8,
  shardWritesPerSecond: 10,
  /** maxShardBytes in orders/ledgerSettings. */
  maxShardBytes: 2_097_152,
};

const {idleEntry, sockets, loadPolls, sizes, members} = JSON.parse(
  readFileSync(join(root, 'docs', 'reports', 'slopes.json'), 'utf8'),
);

const {owners} = JSON.parse(
  readFileSync(join(root, 'docs', 'reports', 'orderOwner.json'), 'utf8'),
);

/** The largest simulated size, and the slope of memory up to it. */
const largest = members[members.length - 1];
const smaller = members[members.length - 2];
const heapPerMember =
  (largest.heapBytes - smaller.heapBytes) / (largest.entries - smaller.entries);

/** One line of a role's bill: messages sent and received a second, and bytes. */
function line(name, mechanism, messages, bytes, cpuMicros, memory = 0) {
  return {name, mechanism, messages, bytes, cpuMicros, memory};
}

/** A message end costs half of what a whole message costs at both ends. */
function messageCpu(messages) {
  return (messages * sockets.cpuMicrosPerMessage) / 2;
}

function messageLine(name, mechanism, messages, bytesEach) {
  const bytes = messages * (bytesEach + HEAD_BYTES);
  return line(name, mechanism, messages, bytes, messageCpu(messages));
}

const changesPerSecond = SIZE.changesPerDay / SECONDS_PER_DAY;
const entryChangesPerSecond = SIZE.entryChangesPerDay / SECONDS_PER_DAY;
const domainMembers = SIZE.entries / SIZE.failureDomains;

const common = [
  line(
    'process, idle, with 4 endpoints',
    'one loop, one thread',
    0,
    0,
    idleEntry.cpuMicrosPerSecond,
    idleEntry.residentBytes,
  ),
  line(
    'heartbeats',
    'rings of neighbours beyond 24 entries',
    largest.messages,
    largest.bytes + largest.messages * HEAD_BYTES,
    largest.cpuMicros + messageCpu(largest.messages),
    heapPerMember * SIZE.entries +
      largest.neighbours * sockets.residentBytesPerConnectionEnd,
  ),
  line(
    'entries that start, leave or die',
    'news on heartbeats, at most 500 bytes each',
    0,
    entryChangesPerSecond * largest.bytesPerChange,
    0,
  ),
  messageLine(
    'configuration digests',
    'two peers a second compare sums',
    2 * CODE.digestFanout,
    sizes.digestBytes,
  ),
  messageLine(
    'configuration changes',
    'pushed once to four peers by each entry',
    2 * CODE.pushFanout * changesPerSecond,
    sizes.recordBytes,
  ),
  messageLine(
    'leaving endpoints',
    'passed on once to the neighbours; one host in a day',
    (2 * largest.neighbours * SIZE.replicas) / SECONDS_PER_DAY,
    sizes.leavingBytes,
  ),
];

/** A shard's owner at the most orders that its bound of keys holds for ever: per order as measured at the highest rate. */
const busiest = owners[owners.length - 1];
const fullRatio = CODE.maxShardBytes / busiest.stateBytes;
const shardOwner = line(
  'owner of one full shard',
  'orders forwarded, one write for all that wait',
  (busiest.messages + 2 * busiest.platformWrites) * fullRatio,
  (busiest.bytes +
    busiest.platformBytes +
    (busiest.messages + 2 * busiest.platformWrites) * HEAD_BYTES) *
    fullRatio,
  busiest.cpuMicros * fullRatio,
  busiest.heapBytes * fullRatio,
);

const roles = {
  'caller-facing node': [],
  'record reader': [
    messageLine(
      'confirming changes within its failure domain',
      'one reader asks its domain, not one holder all entries',
      2 * domainMembers * changesPerSecond,
      sizes.confirmBytes,
    ),
  ],
  'duty holder': [
    messageLine(
      'lease and its candidates',
      'one object, renewed every 2 s',
      2 / CODE.renewSeconds,
      sizes.recordBytes,
    ),
    messageLine(
      'asking the readers whether changes are in force',
      'two readers in each failure domain',
      2 * CODE.readersPerDomain * SIZE.failureDomains * changesPerSecond,
      sizes.confirmBytes,
    ),
  ],
  'ledger-shard owner': [shardOwner],
};

function sum(lines) {
  return lines.reduce(
    (total, item) => ({
      messages: total.messages + item.messages,
      bytes: total.bytes + item.bytes,
      cpuMicros: total.cpuMicros + item.cpuMicros,
      memory: total.memory + item.memory,
    }),
    {messages: 0, bytes: 0, cpuMicros: 0, memory: 0},
  );
}

function table(head, rows) {
  const cells = [head, head.map(() => '---'), ...rows];
  return cells.map(row => `| ${row.join(' | ')} |`).join('\n');
}

function figures({messages, bytes, cpuMicros, memory}) {
  return [
    messages.toFixed(2),
    bytes.toFixed(0),
    ((cpuMicros / 1e6) * 100).toFixed(3),
    (memory / 1e6).toFixed(1),
  ];
}

function billTable(lines) {
  return table(
    ['part', 'mechanism', 'messages/s', 'bytes/s', 'CPU %', 'MB'],
    lines.map(item => [item.name, item.mechanism, ...figures(item)]),
  );
}

function roleTable() {
  const rows = Object.entries(roles).map(([name, extra]) => {
    const total = sum([...common, ...extra]);
    return [
      name,
      ...figures(total),
      `${((total.bytes / BUDGET.bytes) * 100).toFixed(0)} % bytes, ${(
        (total.cpuMicros / BUDGET.cpuMicros) *
        100
      ).toFixed(0)} % CPU, ${((total.memory / BUDGET.memory) * 100).toFixed(
        0,
      )} % memory`,
    ];
  });
  return table(
    ['role', 'messages/s', 'bytes/s', 'CPU %', 'MB', 'of the budget'],
    rows,
  );
}

/** What today's way of knowing replicas costs, and what would fit. */
function replicaTable() {
  const spent = sum(common);
  const bytesLeft = BUDGET.bytes - spent.bytes;
  const pollBytes = loadPolls.bytesPerPoll + HEAD_BYTES;
  const all = SIZE.replicas * CODE.pollsPerSecond;
  const listBytes = SIZE.replicas * sizes.bytesPerListedEndpoint;
  const listPerSecond = SIZE.replicas / SECONDS_PER_DAY;
  return table(
    ['what', 'bytes/s', 'CPU %'],
    [
      [
        `load reports of all ${SIZE.replicas} replicas, every second (today)`,
        (all * pollBytes).toFixed(0),
        ((all * loadPolls.cpuMicrosPerPollBothSides) / 2 / 1e4).toFixed(0),
      ],
      [
        `whole host list (${(listBytes / 1e6).toFixed(1)} MB) after each change, one per replica and day (today)`,
        (listBytes * listPerSecond).toFixed(0),
        'not measured',
      ],
      [
        `reports a second that the rest of the budget holds: ${Math.floor(bytesLeft / pollBytes)}`,
        bytesLeft.toFixed(0),
        (
          ((bytesLeft / pollBytes) * loadPolls.cpuMicrosPerPollBothSides) /
          2 /
          1e4
        ).toFixed(1),
      ],
    ],
  );
}

function platformTable() {
  const readers = CODE.readersPerDomain * SIZE.failureDomains;
  const starts = entryChangesPerSecond;
  const rows = [
    ['accepted records', 'few readers per failure domain', readers, 0],
    ['reclaim notices (cloud)', 'few readers per failure domain', readers, 0],
    ['state of moves', 'a watch at every entry (today)', SIZE.entries, 0],
    [
      'own member object',
      'looked at every 10 minutes',
      SIZE.entries / CODE.ownObjectSeconds,
      0,
    ],
    [
      'entries that start and leave',
      'one write and one listing, one removal',
      starts,
      2 * starts,
    ],
    ['sweep of dead entries', 'one entry', 1 / CODE.sweepSeconds, starts],
    [
      'leases of three duties',
      'three candidates each',
      (3 * 3) / CODE.pollLeaseSeconds,
      3 / CODE.renewSeconds,
    ],
    [
      'order ledger, at most',
      'one write for all claims waiting',
      0,
      CODE.shards * CODE.shardWritesPerSecond,
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
  return table(
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
  return table(
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
    owners.map(item => [
      item.ordersPerSecond,
      item.entries,
      item.stateBytes,
      item.heapBytes,
      item.messages,
      item.bytes,
      item.platformWrites,
      item.platformBytes,
      item.cpuMicros,
    ]),
  );
}

function memberTable() {
  return table(
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
    members.map(item => [
      item.entries,
      item.neighbours,
      item.messages,
      item.bytes,
      item.cpuMicros,
      item.heapBytes,
      item.bytesPerChange,
      `${item.firstNoticeMs} / ${item.lastNoticeMs}`,
    ]),
  );
}

const computed = [
  START,
  '',
  '### Measured: membership per entry',
  '',
  memberTable(),
  '',
  `### Computed: what every entry spends at ${SIZE.entries} entries`,
  '',
  billTable(common),
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
  END,
].join('\n');

/** The page with its computed part replaced, formatted as the repository is. */
async function renewedPage(page) {
  const start = page.indexOf(START);
  const end = page.indexOf(END);
  if (start < 0 || end < 0) {
    throw new Error(`${pagePath} has no computed part`);
  }
  const text = page.slice(0, start) + computed + page.slice(end + END.length);
  const config = await prettier.resolveConfig(pagePath);
  return prettier.format(text, {...config, filepath: pagePath});
}

if (process.argv.includes('--write')) {
  const page = readFileSync(pagePath, 'utf8');
  writeFileSync(pagePath, await renewedPage(page));
} else if (process.argv.includes('--check')) {
  const page = readFileSync(pagePath, 'utf8');
  if ((await renewedPage(page)) !== page) {
    console.error('docs/CAPACITY.md differs from the files in docs/reports');
    process.exit(1);
  }
} else {
  console.log(computed);
}
