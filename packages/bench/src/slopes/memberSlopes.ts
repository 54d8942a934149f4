/** Measures the membership cost per entry and the failure detection time. */
import {measureHeapBytes} from './heap.js';
import {createMemberCluster, type MemberCluster} from './memberCluster.js';

export interface MemberSlope {
  readonly entries: number;
  /** Mean number of heartbeat neighbours per entry. */
  readonly neighbours: number;
  /** Messages sent and received per entry and second without changes. */
  readonly messages: number;
  /** Bytes sent and received per entry and second without changes. */
  readonly bytes: number;
  /** Processor microseconds per entry and second, including the simulation. */
  readonly cpuMicros: number;
  /** Heap per entry, including its member list. */
  readonly heapBytes: number;
  /** Bytes sent and received per entry for one crash and one restart. */
  readonly bytesPerChange: number;
  /** Time from a crash until the first and the last entry remove the member. */
  readonly firstNoticeMs: number;
  readonly lastNoticeMs: number;
}

const STEADY_MS = 10_000;
const CONVERGENCE_TIMEOUT_MS = 120_000;
const STEP_MS = 250;
const CHANGE_WINDOW_MS = 20_000;

/** Advances the clock until all members agree and no gossip is pending. */
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
  throw new Error('the members did not converge before the timeout');
}

interface MembershipDump {
  readonly neighbours: readonly string[];
  /** Number of membership updates that are still to be sent. */
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
  const dumps = readDumps(cluster);
  const sum = dumps.reduce(
    (total, {neighbours}) => total + neighbours.length,
    0,
  );
  return sum / dumps.length;
}

async function measureSteadyState(cluster: MemberCluster) {
  const {net, clock, members} = cluster;
  const trafficBefore = net.totalTraffic();
  const cpuBefore = process.cpuUsage();
  await clock.advance(STEADY_MS);
  const usedCpu = process.cpuUsage(cpuBefore);
  const trafficAfter = net.totalTraffic();
  const entrySeconds = members.size * (STEADY_MS / 1000);
  return {
    messages:
      (2 * (trafficAfter.messagesSent - trafficBefore.messagesSent)) /
      entrySeconds,
    bytes:
      (2 * (trafficAfter.bytesSent - trafficBefore.bytesSent)) / entrySeconds,
    cpuMicros: (usedCpu.user + usedCpu.system) / entrySeconds,
  };
}

/** Crashes one entry; measures the detection time and the bytes per change. */
async function measureChange(
  cluster: MemberCluster,
  steadyBytesPerSecond: number,
) {
  const {net, clock, members} = cluster;
  const id = cluster.random.pick([...members.keys()])!;
  const bytesBefore = net.totalTraffic().bytesSent;
  cluster.crash(id);
  const detection = await measureDetectionTimes(cluster, new Set([id]));
  await clock.advance(CHANGE_WINDOW_MS - detection.lastNoticeMs);
  cluster.start(id);
  await clock.advance(CHANGE_WINDOW_MS);
  const bytes =
    (2 * (net.totalTraffic().bytesSent - bytesBefore)) / members.size;
  const expectedBytes = (steadyBytesPerSecond * 2 * CHANGE_WINDOW_MS) / 1000;
  return {...detection, bytesPerChange: Math.max(0, bytes - expectedBytes)};
}

/** Advances the clock until no entry lists the given ids, or by `limitMs`. */
export async function measureDetectionTimes(
  cluster: MemberCluster,
  lostIds: ReadonlySet<string>,
  limitMs = CHANGE_WINDOW_MS,
) {
  const entryCount = cluster.members.size;
  let firstNoticeMs = -1;
  for (let ms = STEP_MS; ms <= limitMs; ms += STEP_MS) {
    await cluster.clock.advance(STEP_MS);
    const listingCount = cluster.countListing(lostIds);
    if (firstNoticeMs < 0 && listingCount < entryCount) {
      firstNoticeMs = ms;
    }
    if (listingCount === 0) {
      return {firstNoticeMs, lastNoticeMs: ms};
    }
  }
  return {firstNoticeMs, lastNoticeMs: limitMs};
}

/**
 * Measures the membership protocol for the given number of entries: messages,
 * bytes, processor time and heap per entry in the steady state; for the crash
 * and restart of one entry, the detection times and the additional bytes.
 *
 * @example
 * const slope = await measureMembers(1, 100);
 */
export async function measureMembers(
  seed: number,
  entries: number,
): Promise<MemberSlope> {
  const heapBefore = measureHeapBytes();
  const cluster = createMemberCluster(seed, entries);
  await waitForConvergence(cluster);
  const heapBytesPerEntry = (measureHeapBytes() - heapBefore) / entries;
  const steadyState = await measureSteadyState(cluster);
  const change = await measureChange(cluster, steadyState.bytes);
  return {
    entries,
    neighbours: roundToTenths(meanNeighbours(cluster)),
    messages: roundToTenths(steadyState.messages),
    bytes: roundToTenths(steadyState.bytes),
    cpuMicros: roundToTenths(steadyState.cpuMicros),
    heapBytes: Math.round(heapBytesPerEntry),
    bytesPerChange: Math.round(change.bytesPerChange),
    firstNoticeMs: change.firstNoticeMs,
    lastNoticeMs: change.lastNoticeMs,
  };
}

/**
 * Crashes a failure domain; measures the time until no entry lists a member of
 * the domain, and the bytes per entry in the busiest second of that time.
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
  const lostIdSet = new Set(lostIds);
  let busiestBytes = 0;
  let detectedMs = -1;
  let seconds = 0;
  for (; seconds < 90 && detectedMs < 0; seconds++) {
    const bytesBefore = cluster.net.totalTraffic().bytesSent;
    await cluster.clock.advance(1_000);
    const sentBytes = cluster.net.totalTraffic().bytesSent - bytesBefore;
    busiestBytes = Math.max(
      busiestBytes,
      (2 * sentBytes) / cluster.members.size,
    );
    if (cluster.countListing(lostIdSet) === 0) {
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
 * Counts suspicions and removals of running entries, with 10 % message loss and
 * pauses of 1 s of single processes.
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
  cluster.net.setLossProbability(0.1);
  const minutes = 2;
  for (let second = 0; second < minutes * 60; second++) {
    const id = cluster.random.pick([...cluster.members.keys()])!;
    cluster.net.pause(id);
    await cluster.clock.advance(1_000);
    cluster.net.resume(id);
  }
  return {entries, minutes, loss: 0.1, pauseMs: 1_000, suspicions, wronglyGone};
}

function roundToTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
