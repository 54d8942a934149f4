/** What membership costs one entry as the entries grow, and how fast it notices. */
import {collectedHeapBytes} from './heap.js';
import {createMemberCluster, type MemberCluster} from './memberCluster.js';

export interface MemberSlope {
  readonly entries: number;
  readonly neighbours: number;
  /** Per entry and second, sent and received together, with nothing happening. */
  readonly messages: number;
  readonly bytes: number;
  /** Microseconds a second per entry, cost of the simulation included. */
  readonly cpuMicros: number;
  /** Heap per entry with all it knows. */
  readonly heapBytes: number;
  /** Bytes per entry, both ways, that one crash and one start add. */
  readonly bytesPerChange: number;
  /** From a kill until the first and the last entry stop offering it. */
  readonly firstNoticeMs: number;
  readonly lastNoticeMs: number;
}

const STEADY_MS = 10_000;
const SETTLE_TIMEOUT_MS = 120_000;
const STEP_MS = 250;
const CHANGE_WINDOW_MS = 20_000;

/** Runs until all agree and no news is left to spread. */
async function settle(cluster: MemberCluster): Promise<void> {
  for (let ms = 0; ms < SETTLE_TIMEOUT_MS; ms += 1_000) {
    await cluster.clock.advance(1_000);
    if (
      cluster.countAgreeing() === cluster.members.size &&
      isGossipIdle(cluster)
    ) {
      return;
    }
  }
  throw new Error('the members did not settle');
}

interface MembershipDump {
  readonly neighbours: readonly string[];
  /** News still to be passed on. */
  readonly gossip: number;
}

function readDumps(cluster: MemberCluster): MembershipDump[] {
  return [...cluster.members.values()].map(
    membership => membership.dump() as MembershipDump,
  );
}

function isGossipIdle(cluster: MemberCluster): boolean {
  return readDumps(cluster).every(({gossip}) => gossip === 0);
}

function meanNeighbours(cluster: MemberCluster): number {
  const all = readDumps(cluster);
  const sum = all.reduce((total, {neighbours}) => total + neighbours.length, 0);
  return sum / all.length;
}

async function measureSteady(cluster: MemberCluster) {
  const {net, clock, members} = cluster;
  const before = net.totalTraffic();
  const cpu = process.cpuUsage();
  await clock.advance(STEADY_MS);
  const used = process.cpuUsage(cpu);
  const after = net.totalTraffic();
  const share = members.size * (STEADY_MS / 1000);
  return {
    messages: (2 * (after.messagesSent - before.messagesSent)) / share,
    bytes: (2 * (after.bytesSent - before.bytesSent)) / share,
    cpuMicros: (used.user + used.system) / share,
  };
}

/** Kills one and measures who notices when, and what the news costs. */
async function measureChange(cluster: MemberCluster, steadyBytes: number) {
  const {net, clock, members} = cluster;
  const id = cluster.random.pick([...members.keys()])!;
  const before = net.totalTraffic().bytesSent;
  cluster.crash(id);
  const detection = await measureDetectionTimes(cluster, new Set([id]));
  await clock.advance(CHANGE_WINDOW_MS - detection.lastNoticeMs);
  cluster.start(id);
  await clock.advance(CHANGE_WINDOW_MS);
  const bytes = (2 * (net.totalTraffic().bytesSent - before)) / members.size;
  const steady = (steadyBytes * 2 * CHANGE_WINDOW_MS) / 1000;
  return {...detection, bytesPerChange: Math.max(0, bytes - steady)};
}

/** Runs until no entry offers the given ones, or the window ends. */
export async function measureDetectionTimes(
  cluster: MemberCluster,
  lostIds: ReadonlySet<string>,
  limitMs = CHANGE_WINDOW_MS,
) {
  const all = cluster.members.size;
  let firstNoticeMs = -1;
  for (let ms = STEP_MS; ms <= limitMs; ms += STEP_MS) {
    await cluster.clock.advance(STEP_MS);
    const listing = cluster.countListing(lostIds);
    if (firstNoticeMs < 0 && listing < all) {
      firstNoticeMs = ms;
    }
    if (listing === 0) {
      return {firstNoticeMs, lastNoticeMs: ms};
    }
  }
  return {firstNoticeMs, lastNoticeMs: limitMs};
}

/**
 * Measures one size.
 *
 * @example
 * const slope = await measureMembers(1, 100);
 */
export async function measureMembers(
  seed: number,
  entries: number,
): Promise<MemberSlope> {
  const heapBefore = collectedHeapBytes();
  const cluster = createMemberCluster(seed, entries);
  await settle(cluster);
  const heap = (collectedHeapBytes() - heapBefore) / entries;
  const steady = await measureSteady(cluster);
  const change = await measureChange(cluster, steady.bytes);
  return {
    entries,
    neighbours: round(meanNeighbours(cluster)),
    messages: round(steady.messages),
    bytes: round(steady.bytes),
    cpuMicros: round(steady.cpuMicros),
    heapBytes: Math.round(heap),
    bytesPerChange: Math.round(change.bytesPerChange),
    firstNoticeMs: change.firstNoticeMs,
    lastNoticeMs: change.lastNoticeMs,
  };
}

/**
 * Loses a failure domain at once: how long until nobody offers any of it, and
 * the busiest second of an entry meanwhile.
 *
 * @example
 * const loss = await measureDomainLoss(1, 100);
 */
export async function measureDomainLoss(seed: number, entries: number) {
  const cluster = createMemberCluster(seed, entries);
  await settle(cluster);
  const lostIds = [...cluster.members.keys()].filter(
    id => cluster.domainOf(id) === 'domain-3',
  );
  lostIds.forEach(id => cluster.crash(id));
  const ids = new Set(lostIds);
  let busiestBytes = 0;
  let detectedMs = -1;
  let seconds = 0;
  for (; seconds < 90 && detectedMs < 0; seconds++) {
    const before = cluster.net.totalTraffic().bytesSent;
    await cluster.clock.advance(1_000);
    const sent = cluster.net.totalTraffic().bytesSent - before;
    busiestBytes = Math.max(busiestBytes, (2 * sent) / cluster.members.size);
    if (cluster.countListing(ids) === 0) {
      detectedMs = (seconds + 1) * 1_000;
    }
  }
  return {
    entries,
    lost: lostIds.length,
    allNoticedMs: detectedMs,
    busiestBytes: Math.round(busiestBytes),
  };
}

/**
 * Counts live entries that others wrongly took out, under loss of a tenth of
 * all messages and short pauses of single processes.
 *
 * @example
 * const {suspicions, wronglyGone} = await measureFalseAlarms(1, 25);
 */
export async function measureFalseAlarms(seed: number, entries: number) {
  const cluster = createMemberCluster(seed, entries);
  await settle(cluster);
  let suspicions = 0;
  let wronglyGone = 0;
  for (const membership of cluster.members.values()) {
    membership.onDidChange(({state}) => {
      suspicions += state === 'suspect' ? 1 : 0;
      wronglyGone += state === 'gone' ? 1 : 0;
    });
  }
  cluster.net.setLoss(0.1);
  const minutes = 2;
  for (let second = 0; second < minutes * 60; second++) {
    const id = cluster.random.pick([...cluster.members.keys()])!;
    cluster.net.pause(id);
    await cluster.clock.advance(1_000);
    cluster.net.resume(id);
  }
  return {entries, minutes, loss: 0.1, pauseMs: 1_000, suspicions, wronglyGone};
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
