/** Simulated entries that share customers' quotas, on a virtual clock. */
import {
  createSilentLogger,
  createVirtualClock,
  seededRandom,
} from '@skylarkfield/base';
import type {QuotaQuestion} from '../quotaContracts.js';
import {createQuotaGrants, type QuotaGrants} from '../quotaGrants.js';
import {rankQuotaOwners} from '../quotaOwners.js';
import {createQuotas, type Quotas, type UsageByCustomer} from '../quotas.js';
import {groupCoordinators} from './quotaCoordinators.js';
import {
  createCustomer,
  MEAN_TOKENS,
  peakOf,
  pickTokens,
  WINDOW_MS,
} from './quotaLoad.js';

const STEP_MS = 10;
const REPORT_INTERVAL_MS = 300;
/** Time without reports after which an entry is overdue. */
const OVERDUE_MS = 700;
/** Time until the members exclude a silent entry, and stop counting it. */
const SUSPECT_MS = 1_300;
const LOST_GRACE_MS = 15_000;
/** Time for which an entry uses a ranking. */
const RANKING_MS = 100;
/** Time from the start of an entry until the others know it. */
const JOIN_MS = 600;
/** Time until others know that an entry leaves. */
const LEAVE_NOTICE_MS = 50;
/** Time for which a leaving entry still gets requests, and answers. */
const LINGER_MS = 2_700;
/** Time from the end of a process to the start of the next one. */
const RESTART_MS = 300;

interface Report {
  readonly incarnation: number;
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
  readonly used: UsageByCustomer;
}

interface Entry {
  readonly index: number;
  readonly id: string;
  readonly incarnation: number;
  readonly startedAtMs: number;
  readonly quotas: Quotas;
  readonly grants: QuotaGrants;
  /** Last report of each process. */
  readonly reports: Map<string, Report>;
  isUp: boolean;
  /** Whether it follows a process that left. */
  readonly isSuccessor: boolean;
  /** Time at which it announced that it leaves. */
  leavingAtMs: number;
  /** Entries on different sides do not reach each other. */
  side: number;
  /** Time of the last change of `isUp` or `side`. */
  changedAtMs: number;
  ranking: readonly string[];
  rankedAtMs: number;
}

export interface QuotaFleetOptions {
  readonly entryCount: number;
  readonly quota: {readonly perSecond: number; readonly burst: number};
  /** Time until a report arrives, in milliseconds. */
  readonly reportDelayMs?: number;
  readonly seed?: number;
  /** Whether callers find an entry only once others know it. */
  readonly isJoinAwaited?: boolean;
}

/** Load of one customer for some time. */
export interface Load {
  readonly seconds: number;
  /** Multiple of the quota's rate. */
  readonly factor: number;
  /** Entries that get the requests; all by default. */
  readonly entries?: readonly number[];
  /** Fraction of granted requests that are refunded later as not run. */
  readonly refunds?: {readonly fraction: number; readonly afterMs: number};
}

export interface QuotaFleet {
  send(load: Load): Promise<void>;
  kill(indices: readonly number[]): void;
  /** Starts new processes; those that are still up are killed first. */
  restart(indices: readonly number[]): void;
  /** Stops entries gracefully and starts new processes. */
  roll(indices: readonly number[]): void;
  /** Separates the given entries from the others. */
  cut(indices: readonly number[]): void;
  heal(): void;
  setQuota(quota: QuotaFleetOptions['quota']): void;
  /** Largest amount that was granted and not refunded in one window. */
  peakWindow(): number;
  /** Requested and granted tokens since the last call. */
  totals(): {readonly requested: number; readonly granted: number};
}

/**
 * Creates entries that started long ago.
 *
 * @example
 * const fleet = createQuotaFleet({entryCount: 58, quota});
 * await fleet.send({seconds: 8, factor: 20});
 * assert.ok(fleet.peakWindow() <= allowance);
 */
export function createQuotaFleet(options: QuotaFleetOptions): QuotaFleet {
  const clock = createVirtualClock();
  const random = seededRandom(options.seed ?? 1);
  const delayMs = options.reportDelayMs ?? REPORT_INTERVAL_MS;
  const log = createSilentLogger();
  let customer = createCustomer(options.quota);
  const charges: {atMs: number; tokens: number}[] = [];
  let requested = 0;
  let granted = 0;
  let startCount = 0;
  const pending: {atMs: number; deliver(): void}[] = [];
  const entries = Array.from({length: options.entryCount}, (_, index) =>
    startEntry(index),
  );
  clock.advanceSync(2 * WINDOW_MS);
  entries.forEach(entry => (entry.changedAtMs = -LOST_GRACE_MS));

  function startEntry(index: number, isSuccessor = false): Entry {
    startCount += 1;
    const id = `e${index}`;
    const quotas = createQuotas(
      clock,
      WINDOW_MS,
      undefined,
      () => customer.quota,
    );
    const entry: Entry = {
      index,
      id,
      incarnation: startCount,
      startedAtMs: clock.now(),
      quotas,
      reports: new Map(),
      isUp: true,
      isSuccessor,
      leavingAtMs: Infinity,
      side: 0,
      changedAtMs: clock.now(),
      ranking: [],
      rankedAtMs: -Infinity,
      grants: createQuotaGrants({
        clock,
        log,
        self: id,
        incarnation: startCount,
        quotas,
        peers: {
          ask: (target, question) => ask(entry, target, question),
          refund: (target, refund) =>
            entries
              .find(({id: other, isUp}) => other === target && isUp)
              ?.grants.takeBack(customer, refund),
          takeOver: (target, takeover) => {
            const previous = entries.find(({id}) => id === target);
            return previous !== undefined && reaches(entry, previous)
              ? Promise.resolve(previous.grants.yieldTo(entry.id, takeover))
              : Promise.reject(new Error('no answer'));
          },
          rank: name => rank(entry, name),
          reportAgeMs: peer =>
            clock.now() - (entry.reports.get(peer)?.sentAtMs ?? -Infinity),
        },
      }),
    };
    return entry;
  }

  function reaches(a: Entry, b: Entry): boolean {
    return a.isUp && b.isUp && a.side === b.side;
  }

  function ask(from: Entry, target: string, question: QuotaQuestion) {
    const entry = entries.find(({id}) => id === target);
    return entry !== undefined && reaches(from, entry)
      ? Promise.resolve(entry.grants.answer(customer, question))
      : Promise.reject(new Error('no answer'));
  }

  /** Whether an entry considers another one a live member. */
  function isLive(viewer: Entry, entry: Entry): boolean {
    if (viewer === entry) {
      return entry.leavingAtMs === Infinity;
    }
    if (clock.now() - entry.leavingAtMs >= LEAVE_NOTICE_MS) {
      return false;
    }
    const changedAtMs = Math.max(entry.changedAtMs, viewer.changedAtMs);
    return reaches(viewer, entry)
      ? clock.now() - changedAtMs >= JOIN_MS
      : clock.now() - changedAtMs < SUSPECT_MS &&
          entry.startedAtMs < changedAtMs;
  }

  function rank(viewer: Entry, name: string): readonly string[] {
    if (clock.now() - viewer.rankedAtMs >= RANKING_MS) {
      const candidates = entries.filter(entry => isLive(viewer, entry));
      viewer.rankedAtMs = clock.now();
      viewer.ranking = rankQuotaOwners(
        name,
        groupCoordinators(candidates, entries.length),
        {
          wallMs: clock.now(),
          windowMs: WINDOW_MS,
        },
      );
    }
    return viewer.ranking;
  }

  /** Whether a viewer knows that an entry left, and not of its successor. */
  function hasLeft(entry: Entry, viewer: Entry): boolean {
    return (
      clock.now() - entry.leavingAtMs >= LEAVE_NOTICE_MS ||
      (entry.isSuccessor && viewer !== entry)
    );
  }

  function updateVisibility(entry: Entry): void {
    const known = entries.filter(
      other =>
        isLive(entry, other) ||
        (!hasLeft(other, entry) &&
          clock.now() - Math.max(other.changedAtMs, entry.changedAtMs) <
            LOST_GRACE_MS),
    );
    const heard = entries.filter(({id}) => {
      const report = entry.reports.get(id);
      return (
        report !== undefined && clock.now() - report.receivedAtMs < OVERDUE_MS
      );
    });
    const peerCount = Math.max(1, known.length - 1);
    entry.quotas.setReportingPeers(
      Math.min(1, heard.length / peerCount),
      peerCount + 1,
      OVERDUE_MS,
    );
  }

  function deliver(sender: Entry, receiver: Entry, report: Report): void {
    if (!reaches(sender, receiver)) {
      return;
    }
    const last = receiver.reports.get(sender.id);
    const previous =
      last?.incarnation === sender.incarnation ? last : undefined;
    const isNew = report.sentAtMs - sender.startedAtMs < WINDOW_MS;
    const base = previous?.used ?? (isNew ? {} : report.used);
    receiver.reports.set(sender.id, report);
    receiver.quotas.recordPeerUsage(
      Object.fromEntries(
        Object.entries(report.used).map(([name, amount]) => [
          name,
          amount - (base[name] ?? 0),
        ]),
      ),
    );
  }

  function exchangeReports(): void {
    const sentAtMs = clock.now();
    for (const sender of entries.filter(({isUp}) => isUp)) {
      updateVisibility(sender);
      sender.grants.updateOwners();
      const used = {...sender.quotas.totalOwnUsage()};
      const receivers = entries.filter(entry => entry !== sender);
      const atMs = sentAtMs + delayMs;
      const report = {
        incarnation: sender.incarnation,
        sentAtMs,
        receivedAtMs: atMs,
        used,
      };
      insertPending(atMs, () =>
        receivers.forEach(receiver => deliver(sender, receiver, report)),
      );
    }
  }

  function runPending(): void {
    while (pending.length > 0 && pending[0]!.atMs <= clock.now()) {
      pending.shift()!.deliver();
    }
  }

  async function step(): Promise<void> {
    runPending();
    if (Math.round(clock.now()) % REPORT_INTERVAL_MS === 0) {
      exchangeReports();
    }
    clock.advanceSync(STEP_MS);
    await Promise.resolve();
  }

  async function request(entry: Entry, {refunds}: Load): Promise<void> {
    const tokens = pickTokens(random);
    requested += tokens;
    const grant = await entry.grants.consume(customer, tokens);
    if (grant.outcome !== 'granted') {
      return;
    }
    if (refunds !== undefined && random.chance(refunds.fraction)) {
      insertPending(clock.now() + refunds.afterMs, grant.refund);
      return;
    }
    granted += tokens;
    charges.push({atMs: clock.now(), tokens});
  }

  function insertPending(atMs: number, action: () => void): void {
    pending.push({atMs, deliver: action});
    pending.sort((a, b) => a.atMs - b.atMs);
  }

  /** Whether callers send requests to the entry. */
  function isFound({isUp, startedAtMs, leavingAtMs}: Entry): boolean {
    return (
      isUp &&
      clock.now() - leavingAtMs < LINGER_MS &&
      (options.isJoinAwaited !== true || clock.now() - startedAtMs >= JOIN_MS)
    );
  }

  function setSides(indices: readonly number[], side: number): void {
    for (const index of indices) {
      entries[index]!.side = side;
      entries[index]!.changedAtMs = clock.now();
    }
  }

  return {
    async send(load) {
      const indices = load.entries ?? entries.map((_, index) => index);
      const {perSecond} = customer.quota!;
      const perStep = (load.factor * perSecond * STEP_MS) / 1_000 / MEAN_TOKENS;
      let due = 0;
      for (let atMs = 0; atMs < load.seconds * 1_000; atMs += STEP_MS) {
        for (due += perStep; due >= 1; due--) {
          const entry = entries[random.pick(indices)!]!;
          if (isFound(entry)) {
            await request(entry, load);
          }
        }
        await step();
      }
    },
    kill(indices) {
      for (const index of indices) {
        entries[index]!.isUp = false;
        entries[index]!.changedAtMs = clock.now();
      }
    },
    restart(indices) {
      for (const index of indices) {
        entries[index] = startEntry(index);
      }
    },
    roll(indices) {
      for (const index of indices) {
        const entry = entries[index]!;
        entry.leavingAtMs = clock.now();
        insertPending(clock.now() + LINGER_MS, () => {
          entry.isUp = false;
          entry.changedAtMs = clock.now();
        });
        insertPending(clock.now() + LINGER_MS + RESTART_MS, () => {
          entries[index] = startEntry(index, true);
        });
      }
    },
    cut: indices => setSides(indices, 1),
    heal: () =>
      setSides(
        entries.flatMap(({side}, index) => (side === 1 ? [index] : [])),
        0,
      ),
    setQuota(quota) {
      customer = createCustomer(quota);
    },
    peakWindow: () => peakOf(charges),
    totals() {
      const result = {requested, granted};
      requested = 0;
      granted = 0;
      return result;
    },
  };
}
