/** Measures the membership cost per entry and the failure detection time. */
import {collectedHeapBytes} from './heap.js';
import {createMemberCluster, type MemberCluster} from './memberCluster.js';

export interface MemberSlope {
  readonly entries: number;
  readonly neighbours: number;
  /** Sent and received per entry and second, without membership changes. */
  readonly messages: number;
  /** Counted as `messages`. */
  readonly bytes: number;
  /** Microseconds per second and entry, including the simulation. */
  readonly cpuMicros: number;
  /** Heap per entry, including its member list. */
  readonly heapBytes: number;
  /** Bytes per entry, sent and received, for one crash and one start. */
  readonly bytesPerChange: number;
  /** Time from a crash until the first and the last entry remove the member. */
  readonly firstNoticeMs: number;
  readonly lastNoticeMs: number;
}

const STEADY_MS = 10_000;
const CONVERGENCE_TIMEOUT_MS = 120_000;
const STEP_MS = 250;
const CHANGE_WINDOW_MS = 20_000;

/** Runs until all members agree and no gossip is pending. */
async function waitForConvergence(cluster: MemberCluster): Promise<void> {
  for (let ms = 0; ms < CONVERGENCE_TIMEOUT_MS; ms += 1_000) {
    await cluster.clock.advance(1_000);
    if (
      cluster.countAgreeing() === cluster.members.size &&
      isGossipIdle(cluster)
    ) {
      return;
    }
  }
  throw new Error('the members did not converge in time');
}

interface MembershipDump {
  readonly neighbours: readonly string[];
  /** Pending membership updates. */
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

async function measureSteadyState(cluster: MemberCluster) {
  const {net, clock, members} = cluster;
  const before = net.totalTraffic();
  const cpu = process.cpuUsage();
  await clock.advance(STEADY_MS);
  const used = process.cpuUsage(cpu);
  const after = net.totalTraffic();
  const entrySeconds = members.size * (STEADY_MS / 1000);
  return {
    messages: (2 * (after.messagesSent - before.messagesSent)) / entrySeconds,
    bytes: (2 * (after.bytesSent - before.bytesSent)) / entrySeconds,
    cpuMicros: (used.user + used.system) / entrySeconds,
  };
}

/** Crashes one entry; measures its detection and the bytes of the change. */
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
  const expectedBytes = (steadyBytes * 2 * CHANGE_WINDOW_MS) / 1000;
  return {...detection, bytesPerChange: Math.max(0, bytes - expectedBytes)};
}

/** Runs until no entry lists the given ids, or for `limitMs`. */
export async function measureDetectionTimes(
  cluster: MemberCluster,
  lostIds: ReadonlySet<string>,
  limitMs = CHANGE_WINDOW_MS,
) {
  const entryCount = cluster.members.size;
  let firstNoticeMs = -1;
  for (let ms = STEP_MS; ms <= limitMs; ms += STEP_MS) {
    await cluster.clock.advance(STEP_MS);
    const listing = cluster.countListing(lostIds);
    if (firstNoticeMs < 0 && listing < entryCount) {
      firstNoticeMs = ms;
    }
    if (listing === 0) {
      return {firstNoticeMs, lastNoticeMs: ms};
    }
  }
  return {firstNoticeMs, lastNoticeMs: limitMs};
}

/**
 * Measures a cluster with the given number of entries.
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
  await waitForConvergence(cluster);
  const heapBytesPerEntry = (collectedHeapBytes() - heapBefore) / entries;
  const steady = await measureSteadyState(cluster);
  const change = await measureChange(cluster, steady.bytes);
  return {
    entries,
    neighbours: round(meanNeighbours(cluster)),
    messages: round(steady.messages),
    bytes: round(steady.bytes),
    cpuMicros: round(steady.cpuMicros),
    heapBytes: Math.round(heapBytesPerEntry),
    bytesPerChange: Math.round(change.bytesPerChange),
    firstNoticeMs: change.firstNoticeMs,
    lastNoticeMs: change.lastNoticeMs,
  };
}

/**
 * Crashes a failure domain; measures the time until no entry lists a member of
 * the domain, and the bytes per entry in the busiest second until then.
 *
 * @example
 * const loss = await measureDomainLoss(1, 100);
 */
export async function measureDomainLoss(seed: number, entries: number) {
  const cluster = createMemberCluster(seed, entries);
  await waitForConvergence(cluster);
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
 * Counts suspicions and removals of live entries, with 10 % message loss and
 * short pauses of single processes.
 *
 * @example
 * const {suspicions, wronglyGone} = await measureFalseAlarms(1, 25);
 */
export async function measureFalseAlarms(seed: number, entries: number) {
  const cluster = createMemberCluster(seed, entries);
  await waitForConvergence(cluster);
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
