/**
 * Several ledgers over one in-memory platform and network, with an oracle for
 * runs and answers.
 */
import assert from 'node:assert/strict';
import {
  seededRandom,
  ServingError,
  sleep,
  toServingError,
  virtualClock,
  type Clock,
  type RunState,
} from '@skylarkfield/base';
import {createMemoryPlatform, type MemoryClient} from '@skylarkfield/providers';
import {
  createLedger,
  type Dispatch,
  type Ledger,
  type LedgerSettings,
} from '../index.js';
import {
  createProcess,
  createSimulatedNetwork,
  processStore,
  type SimulatedProcess,
} from './simulatedProcess.js';

/** One request of a caller and its answer. */
export interface SubmittedRequest {
  readonly key: string | undefined;
  /** Content of the order; a key may be used with two different ones. */
  readonly subject: string;
  readonly at: number;
  readonly timeoutMs: number;
  /** Undefined until answered; stays so when the entry crashed. */
  answer?: {
    readonly kind: string;
    readonly run: RunState | 'ran';
    readonly body?: string;
    readonly message?: string;
    readonly isReplay?: boolean;
    readonly retryAfterMs?: number;
  };
}

/** One execution at the service. */
export interface ServiceRun {
  readonly subject: string;
  readonly at: number;
  readonly body: string;
}

export interface Entry {
  readonly id: string;
  readonly process: SimulatedProcess;
  readonly ledger: Ledger;
  readonly client: MemoryClient;
  /** Entries that this one considers dead. */
  readonly suspects: Set<string>;
  isLeaving: boolean;
}

/** Faults of the service as shares of the calls, and its delays. */
export interface ServiceFaults {
  rejectedShare: number;
  lostAfterRunShare: number;
  lostBeforeRunShare: number;
  waitMs: number;
  workMs: number;
}

export interface Cluster {
  readonly clock: ReturnType<typeof virtualClock>;
  readonly platform: ReturnType<typeof createMemoryPlatform>;
  readonly network: ReturnType<typeof createSimulatedNetwork>;
  readonly entries: Map<string, Entry>;
  readonly submitted: readonly SubmittedRequest[];
  readonly runs: readonly ServiceRun[];
  readonly service: ServiceFaults;
  /** End of the period without entries, if it overlaps the order's lifetime. */
  emptyUntil(order: SubmittedRequest): number | undefined;
  start(id: string): Entry;
  crash(id: string): void;
  pause(id: string): void;
  resume(id: string): Promise<void>;
  leave(id: string): Promise<void>;
  submit(
    id: string,
    key: string | undefined,
    subject?: string,
    timeoutMs?: number,
  ): SubmittedRequest;
  /** Checks all answers so far. */
  check(): void;
  dispose(): void;
}

const MAX_ENDPOINT_ATTEMPTS = 2;
export const TIMEOUT_MS = 5_000;

const testSettings: Partial<LedgerSettings> = {
  shardCount: 2,
  minWriteIntervalMs: 10,
  outcomeDelayMs: 20,
  holdOffMs: 300,
  graceMs: 500,
  // Small, so that every few orders fill a segment.
  sealThresholdBytes: 600,
};

/** Creates a cluster without entries. */
export function createCluster(
  seed: number,
  settings: Partial<LedgerSettings> = {},
): Cluster {
  const clock = virtualClock();
  const random = seededRandom(seed);
  const platform = createMemoryPlatform({clock, random});
  platform.faults.setDelay(4);
  const network = createSimulatedNetwork(clock, random);
  const entries = new Map<string, Entry>();
  const submitted: SubmittedRequest[] = [];
  const runs: ServiceRun[] = [];
  let emptyPeriod: {readonly from: number; to: number} | undefined;
  const service: ServiceFaults = {
    rejectedShare: 0,
    lostAfterRunShare: 0,
    lostBeforeRunShare: 0,
    waitMs: 10,
    workMs: 30,
  };

  function dispatchOf(process: SimulatedProcess): Dispatch {
    return async (_service, call, signal, begin) => {
      await sleep(process.clock, service.waitMs * random.next(), signal);
      // Like a real entry, tries another endpoint if one received nothing.
      for (let tries = 1; ; tries++) {
        if (!begin()) {
          throw new ServingError('cancelled', 'cancelled before it was sent', {
            run: 'not-run',
          });
        }
        if (!random.chance(service.rejectedShare)) {
          break;
        }
        if (tries === MAX_ENDPOINT_ATTEMPTS) {
          throw new ServingError('endpoint-unavailable', 'refused');
        }
      }
      const isLostBefore = random.chance(service.lostBeforeRunShare);
      const isLostAfter = random.chance(service.lostAfterRunShare);
      const subject = new TextDecoder().decode(call.body);
      const body = `run ${runs.length} of ${subject}`;
      if (!isLostBefore) {
        runs.push({subject, at: clock.now(), body});
      }
      await sleepOn(clock, service.workMs * random.next());
      await process.whenRunning();
      if (isLostBefore || isLostAfter) {
        throw new ServingError('outcome-unknown', 'connection lost');
      }
      return {status: 201, headers: {}, body: new TextEncoder().encode(body)};
    };
  }

  function start(id: string): Entry {
    crash(id);
    const process = createProcess(id, clock);
    const client = platform.client(id);
    const suspects = new Set<string>();
    const visibleEntries = () =>
      [...entries.values()].filter(
        other => other.process.isAlive && !suspects.has(other.id),
      );
    const ledger = createLedger({
      store: processStore(client, process, clock),
      network: network.connect(process),
      dispatch: dispatchOf(process),
      clock: process.clock,
      random: seededRandom(random.integer(0, 1_000_000_000)),
      member: id,
      liveMembers: () =>
        visibleEntries()
          .filter(other => !other.isLeaving)
          .map(other => other.id),
      answeringMembers: () => visibleEntries().map(other => other.id),
      settings: {...testSettings, ...settings},
    });
    const entry = {id, process, ledger, client, suspects, isLeaving: false};
    entries.set(id, entry);
    if (emptyPeriod !== undefined) {
      emptyPeriod.to = Math.min(emptyPeriod.to, clock.now());
    }
    return entry;
  }

  function crash(id: string): void {
    const entry = entries.get(id);
    if (entry !== undefined) {
      entry.process.isAlive = false;
      entry.ledger.dispose();
      entry.process.onDidEnd.splice(0).forEach(notify => notify());
    }
  }

  function entryOf(id: string): Entry {
    const entry = entries.get(id);
    assert.ok(entry, `no entry ${id}`);
    return entry;
  }

  function submit(
    id: string,
    key: string | undefined,
    subject = key ?? `unnamed ${submitted.length}`,
    timeoutMs = TIMEOUT_MS,
  ): SubmittedRequest {
    const {ledger, process} = entryOf(id);
    const request: SubmittedRequest = {
      key,
      subject,
      at: clock.now(),
      timeoutMs,
    };
    submitted.push(request);
    const order = {
      customer: 'chain',
      service: 'ordering',
      key,
      fingerprint: subject,
      call: {
        method: 'POST',
        path: '/orders',
        headers: {},
        body: new TextEncoder().encode(subject),
      },
      deadline: clock.now() + timeoutMs,
    };
    process.run(() => {
      ledger.submit(order, new AbortController().signal).then(
        ({reply, isReplay}) => {
          const body = new TextDecoder().decode(reply.body);
          request.answer = {kind: 'reply', run: 'ran', body, isReplay};
        },
        (error: unknown) => {
          const {kind, run, message, retryAfterMs} = toServingError(error);
          request.answer = {kind, run, message, retryAfterMs};
        },
      );
    });
    return request;
  }

  async function leave(id: string): Promise<void> {
    const entry = entryOf(id);
    entry.isLeaving = true;
    const isLast = [...entries.values()].every(
      other => other.isLeaving || !other.process.isAlive,
    );
    if (isLast) {
      emptyPeriod ??= {from: clock.now(), to: Infinity};
    }
    await entry.ledger.leave();
    if (entries.get(id) === entry) {
      crash(id);
    }
  }

  function check(): void {
    checkRuns(runs, submitted);
    checkAnswers(runs, submitted);
  }

  return {
    clock,
    platform,
    network,
    entries,
    submitted,
    runs,
    service,
    emptyUntil({at, timeoutMs}) {
      const isAffected =
        emptyPeriod !== undefined &&
        at <= emptyPeriod.to &&
        at + timeoutMs >= emptyPeriod.from;
      return isAffected ? emptyPeriod?.to : undefined;
    },
    start,
    crash,
    pause(id) {
      entryOf(id).process.isPaused = true;
    },
    resume: id => entryOf(id).process.resume(),
    leave,
    submit,
    check,
    dispose() {
      for (const id of entries.keys()) {
        crash(id);
      }
    },
  };
}

/** Each order ran at most once, and none if all callers got `not-run`. */
function checkRuns(
  runs: readonly ServiceRun[],
  submitted: readonly SubmittedRequest[],
) {
  const seen = new Map<string, ServiceRun>();
  for (const run of runs) {
    const causes = submitted.filter(({subject}) => subject === run.subject);
    const key = causes[0]?.key ?? run.subject;
    assert.equal(seen.get(key), undefined, `${key} ran twice`);
    seen.set(key, run);
    assert.ok(
      causes.some(({at, answer}) => at <= run.at && answer?.run !== 'not-run'),
      `${run.subject} ran at ${run.at}, but all its callers received not-run`,
    );
  }
}

/** Checks that every reply comes from a run of its own order. */
function checkAnswers(
  runs: readonly ServiceRun[],
  submitted: readonly SubmittedRequest[],
) {
  for (const {subject, answer} of submitted) {
    if (answer?.body !== undefined) {
      const run = runs.find(({body}) => body === answer.body);
      assert.equal(
        run?.subject,
        subject,
        `the answer to ${subject} comes from another order`,
      );
    }
  }
}

function sleepOn(clock: Clock, delayMs: number): Promise<void> {
  return new Promise(resolve => clock.after(delayMs, resolve));
}
