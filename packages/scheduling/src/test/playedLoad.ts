/** Plays callers, entries and endpoints of a plain service on a virtual clock. */
import {
  createVirtualClock,
  seededRandom,
  type VirtualClock,
} from '@skylarkfield/base';
import type {PlacementDecision, ReportedLoad} from '../contracts.js';
import type {ServiceScheduler} from '../schedulerContracts.js';
import {createServiceScheduler} from '../serviceScheduler.js';

export interface PlayedAttempt {
  readonly urgency: number;
  readonly sentAt: number;
  readonly isReturning: boolean;
  latencyMs?: number;
  endpoint?: string;
  retryAfterMs?: number;
}

/** Part of a load with a constant rate. */
export interface LoadPhase {
  readonly endMs: number;
  readonly perSecond: number;
}

export const TARGET_MS = 300;
const LIMIT_MS = 1_500;
const SERVICE_MS = 60;
const SLOTS = 6;
const ENDPOINT_COUNT = 4;
/** One way between an entry and the scheduler, in milliseconds. */
const HOP_MS = 2;
const URGENCY_FRACTIONS = [0.2, 0.5, 1];

/** Creates an endpoint that queues requests and reports its load. */
function createPlayedEndpoint(clock: VirtualClock) {
  const queue: ((load: ReportedLoad) => void)[] = [];
  let running = 0;
  let factor = 1;

  function start(onDidEnd: (load: ReportedLoad) => void): void {
    running += 1;
    clock.after(SERVICE_MS * factor, () => {
      onDidEnd({running, waiting: queue.length, slowness: factor});
      running -= 1;
      const next = queue.shift();
      if (next !== undefined) {
        start(next);
      }
    });
  }

  return {
    setFactor: (newFactor: number) => (factor = newFactor),
    run(onDidEnd: (load: ReportedLoad) => void) {
      if (running >= SLOTS) {
        queue.push(onDidEnd);
        return;
      }
      start(onDidEnd);
    },
  };
}

/** Plays a load whose rejected callers come back once, when they were told. */
export async function playLoad(options: {
  readonly phases: readonly LoadPhase[];
  readonly seed: number;
  /** Called every 10 ms, to make endpoints slow. */
  onTick?(nowMs: number, setFactor: (id: string, factor: number) => void): void;
  /** Returns the scheduler in use, to replace it. */
  onDidStart?(
    clock: VirtualClock,
    replaceScheduler: () => ServiceScheduler,
  ): void;
}): Promise<readonly PlayedAttempt[]> {
  const clock = createVirtualClock();
  const random = seededRandom(options.seed);
  const endpoints = new Map(
    Array.from({length: ENDPOINT_COUNT}, (_, index) => [
      `i-${index}`,
      createPlayedEndpoint(clock),
    ]),
  );
  const attempts: PlayedAttempt[] = [];
  let scheduler = createScheduler();

  function createScheduler(): ServiceScheduler {
    const created = createServiceScheduler({
      clock,
      random,
      cacheTokens: 0,
      promptTime: () => 0,
    });
    created.setEndpoints(
      [...endpoints.keys()].map(id => ({
        id,
        slots: SLOTS,
        failureDomain: 'a',
      })),
    );
    return created;
  }

  function send(urgency: number, isReturning: boolean, name: string): void {
    const attempt: PlayedAttempt = {
      urgency,
      sentAt: clock.now(),
      isReturning,
    };
    attempts.push(attempt);
    const id = `${name}${isReturning ? '-again' : ''}`;
    const asker = `e${Number(name) % 9}`;
    const asked = scheduler;

    function apply(decision: PlacementDecision): void {
      clock.after(HOP_MS, () => {
        if (decision.type === 'rejected') {
          attempt.retryAfterMs = decision.retryAfterMs;
          if (!isReturning) {
            clock.after(decision.retryAfterMs, () => send(urgency, true, name));
          }
          return;
        }
        run(decision.endpoint);
      });
    }

    function run(endpoint: string): void {
      const placedAt = clock.now();
      attempt.endpoint = endpoint;
      endpoints.get(endpoint)!.run(load => {
        attempt.latencyMs = clock.now() - attempt.sentAt;
        const tookMs = clock.now() - placedAt;
        clock.after(HOP_MS, () => {
          asked.begin(asker, {id, endpoint, firstMs: tookMs, load});
          asked.end(asker, {id, endpoint, outcome: 'ok', tookMs});
        });
      });
    }

    clock.after(HOP_MS, () => {
      const answer = asked.request(
        asker,
        {
          id,
          route: `r${urgency}`,
          urgency,
          customer: '',
          failureDomain: 'a',
          targetAt: attempt.sentAt + TARGET_MS,
          deadlineAt: attempt.sentAt + LIMIT_MS,
          fingerprint: name,
        },
        apply,
      );
      if (answer.type !== 'queued') {
        apply(answer);
      }
    });
  }

  let sentCount = 0;
  let nextAt = 0;
  options.onDidStart?.(clock, () => (scheduler = createScheduler()));
  for (const {endMs, perSecond} of options.phases) {
    while (clock.now() < endMs) {
      while (nextAt < clock.now() + 10 && nextAt < endMs) {
        const draw = random.next();
        const urgency = URGENCY_FRACTIONS.findIndex(limit => draw < limit);
        const name = String(sentCount);
        clock.after(nextAt - clock.now(), () => send(urgency, false, name));
        sentCount += 1;
        nextAt += random.exponential(1_000 / perSecond);
      }
      options.onTick?.(clock.now(), (id, factor) =>
        endpoints.get(id)!.setFactor(factor),
      );
      clock.advanceSync(10);
    }
  }
  clock.advanceSync(20_000);
  scheduler.dispose();
  return attempts;
}

/** Returns the fraction of attempts that were answered within the target. */
export function inTime(attempts: readonly PlayedAttempt[]): number {
  const timely = attempts.filter(
    ({latencyMs = Infinity}) => latencyMs <= TARGET_MS,
  );
  return timely.length / attempts.length;
}
