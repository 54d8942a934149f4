/** Plays callers, entries and engines of a model service on a virtual clock. */
import {
  createVirtualClock,
  seededRandom,
  type Random,
  type VirtualClock,
} from '@skylarkfield/base';
import type {PlacementDecision, Prompt, ReportedLoad} from '../contracts.js';
import {createServiceScheduler} from '../serviceScheduler.js';

/** Requests of the second fleet; rates are those of all of its engines. */
const CLASSES = [
  {
    name: 'question',
    urgency: 0,
    perSecond: 103,
    sharedTokens: 198,
    ownTokens: 628,
    events: 32,
    targetMs: 600,
    limitMs: 10_000,
  },
  {
    name: 'long',
    urgency: 1,
    perSecond: 101,
    sharedTokens: 5_382,
    ownTokens: 6_610,
    events: 42,
    targetMs: 1_200,
    limitMs: 12_000,
  },
  {
    name: 'tag',
    urgency: 2,
    perSecond: 177,
    sharedTokens: 568,
    ownTokens: 1_800,
    events: 3,
    targetMs: 800,
    limitMs: 3_000,
  },
] as const;

type PlayedClass = (typeof CLASSES)[number];

export interface PlayedStream {
  readonly name: PlayedClass['name'];
  readonly sentAt: number;
  readonly ownTokens: number;
  readonly isReturning: boolean;
  /** Factor of the time that the engine takes; absent if it was not placed. */
  speed?: number;
  /** Time from the question to the decision, in milliseconds. */
  decidedMs?: number;
  firstMs?: number;
  longestGapMs: number;
  result?: 'ended' | 'left' | 'rejected';
  retryAfterMs?: number;
}

const SPEEDS = [0.6, 1, 1.6];
const SLOTS = 12;
const TOKENS_PER_MS = 57;
const CHUNK_TOKENS = 512;
const STEP_MS = 3.09;
const STEP_REQUEST_MS = 0.1;
const EVENT_TOKENS = 9;
const MAX_GAP_MS = 800;
const HOP_MS = 3;
const ENTRY_COUNT = 16;
const MAX_OWN_TOKENS = 54_600;
const LOGNORMAL_SIGMA = 1.4;
const CACHE_TOKENS = 150_000;
const SHARED_PARTS = 30;
/** Hosts take 2.5 times as long in 15 of 100 periods of 600 ms. */
const PERIOD_MS = 600;
const SLOW_CHANCE = 0.15;
const SLOW_FACTOR = 2.5;

interface Job {
  readonly urgency: number;
  tokensToRead: number;
  tokensToWrite: number;
  onEvent(isLast: boolean, load: ReportedLoad): void;
}

/** Creates an engine that reads prompts in chunks beside the decode steps. */
function createPlayedEngine(
  clock: VirtualClock,
  speed: number,
  rand: Random,
  reportsSpeed: boolean,
) {
  const cached = new Map<string, number>();
  let jobs: Job[] = [];
  let isStepping = false;
  let factor = 1;
  let readCount = 0;

  function changeFactor(): void {
    factor = rand.chance(SLOW_CHANCE) ? SLOW_FACTOR : 1;
    clock.after(PERIOD_MS, changeFactor);
  }
  clock.after(rand.next() * PERIOD_MS, changeFactor);

  /** Returns the tokens to read, and caches the parts read last. */
  function tokensToRead({ownTokens, sharedParts}: Prompt): number {
    let tokens = ownTokens;
    for (const part of sharedParts) {
      tokens += cached.delete(part.id) ? 0 : part.tokens;
      cached.set(part.id, part.tokens);
    }
    cached.set(`own-${readCount++}`, ownTokens);
    let kept = [...cached.values()].reduce((sum, size) => sum + size, 0);
    for (const [id, size] of cached) {
      if (kept <= CACHE_TOKENS) {
        break;
      }
      cached.delete(id);
      kept -= size;
    }
    return tokens;
  }

  function step(): void {
    isStepping = jobs.length > 0;
    if (!isStepping) {
      return;
    }
    // The sort is stable, so the most urgent run and preempt the others.
    jobs.sort((a, b) => a.urgency - b.urgency);
    const batch = jobs.slice(0, SLOTS);
    const reading = batch.find(job => job.tokensToRead > 0);
    const chunk = Math.min(CHUNK_TOKENS, reading?.tokensToRead ?? 0);
    const writing = batch.filter(job => job.tokensToRead === 0);
    const decodeMs =
      writing.length > 0 ? STEP_MS + writing.length * STEP_REQUEST_MS : 0;
    clock.after((chunk / TOKENS_PER_MS + decodeMs) * speed * factor, () => {
      if (reading !== undefined) {
        reading.tokensToRead -= chunk;
      }
      for (const job of writing) {
        job.tokensToWrite -= 1;
      }
      const load = {
        running: Math.min(SLOTS, jobs.length),
        waiting: Math.max(0, jobs.length - SLOTS),
        slowness: factor * (reportsSpeed ? speed : 1),
      };
      jobs = jobs.filter(job => job.tokensToWrite > 0);
      for (const job of writing) {
        if (job.tokensToWrite % EVENT_TOKENS === 0) {
          job.onEvent(job.tokensToWrite === 0, load);
        }
      }
      step();
    });
  }

  return {
    speed,
    run(prompt: Prompt, job: Omit<Job, 'tokensToRead'>): () => void {
      const added = Object.assign(job, {tokensToRead: tokensToRead(prompt)});
      jobs.push(added);
      if (!isStepping) {
        step();
      }
      return () => (jobs = jobs.filter(other => other !== added));
    },
  };
}

/** Returns the engine time of a class in full batches, in ms. */
function workMs({ownTokens, events}: PlayedClass): number {
  const stepMs = STEP_MS + SLOTS * STEP_REQUEST_MS;
  return ownTokens / TOKENS_PER_MS + (events * EVENT_TOKENS * stepMs) / SLOTS;
}

/** Returns the factor on the rates at which the engines are used up. */
function fullLoad(engineCount: number): number {
  const used = CLASSES.reduce(
    (sum, played) => sum + (played.perSecond * workMs(played)) / 1_000,
    0,
  );
  const meanSpeed =
    SPEEDS.reduce((sum, speed) => sum + 1 / speed, 0) / SPEEDS.length;
  const uptime = 1 - SLOW_CHANCE * (1 - 1 / SLOW_FACTOR);
  return (engineCount * meanSpeed * uptime) / used;
}

function drawOwnTokens(random: Random, mean: number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) *
    Math.cos(2 * Math.PI * random.next());
  const scale = mean / Math.exp(LOGNORMAL_SIGMA ** 2 / 2);
  const tokens = scale * Math.exp(LOGNORMAL_SIGMA * normal);
  return Math.ceil(Math.min(MAX_OWN_TOKENS, tokens));
}

/** Plays a load whose rejected callers return once, when they were told. */
export function playStreams(options: {
  readonly seed: number;
  readonly engineCount: number;
  readonly endMs: number;
  /** Returns the load as a fraction of the capacity of all engines. */
  loadAt(nowMs: number, name: PlayedStream['name']): number;
  /** Returns the time of a prompt that the scheduler is told; true by default. */
  estimateMs?(usualMs: number, nowMs: number): number;
  /** Whether the slowness that engines report includes their usual speed. */
  readonly reportsSpeed?: boolean;
  onDidEnd?(dump: unknown): void;
}): readonly PlayedStream[] {
  const clock = createVirtualClock();
  const random = seededRandom(options.seed);
  const engines = new Map(
    Array.from({length: options.engineCount}, (_, index) => [
      `m-${index}`,
      createPlayedEngine(
        clock,
        SPEEDS[index % SPEEDS.length]!,
        seededRandom(options.seed + 100 + index),
        options.reportsSpeed ?? false,
      ),
    ]),
  );
  const scheduler = createServiceScheduler({
    clock,
    random: seededRandom(options.seed + 99),
    cacheTokens: CACHE_TOKENS,
    promptTime({ownTokens, promptTokens}, cachedTokens) {
      const tokens = Math.max(ownTokens, promptTokens - cachedTokens);
      const usualMs = tokens / TOKENS_PER_MS;
      return options.estimateMs?.(usualMs, clock.now()) ?? usualMs;
    },
  });
  scheduler.setEndpoints(
    [...engines.keys()].map(id => ({id, slots: SLOTS, failureDomain: 'a'})),
  );
  const streams: PlayedStream[] = [];

  function send(played: PlayedClass, prompt: Prompt, returning?: string): void {
    const {name, urgency, targetMs, limitMs} = played;
    const sentAt = clock.now();
    const {ownTokens} = prompt;
    const isReturning = returning !== undefined;
    const stream: PlayedStream = {
      name,
      sentAt,
      ownTokens,
      isReturning,
      longestGapMs: 0,
    };
    streams.push(stream);
    const id = `${streams.length}`;
    const fingerprint = returning ?? id;
    const asker = `e${Number(id) % ENTRY_COUNT}`;
    let placed: {readonly endpoint: string; readonly at: number} | undefined;
    let cancelJob = () => {};
    let lastDataAt = sentAt;
    let timeout = clock.after(0, () => {});

    function end(result: 'ended' | 'left'): void {
      timeout.dispose();
      cancelJob();
      stream.result = result;
      clock.after(HOP_MS, () =>
        scheduler.end(asker, {
          id,
          ...(placed && {endpoint: placed.endpoint}),
          outcome: result === 'ended' ? 'ok' : 'cancelled',
          tookMs: clock.now() - HOP_MS - (placed?.at ?? sentAt),
        }),
      );
    }

    function waitForData(): void {
      timeout.dispose();
      const spanMs = Math.max(2_000, 4 * targetMs, 8 * MAX_GAP_MS);
      const restMs = sentAt + limitMs - clock.now();
      timeout = clock.after(Math.min(spanMs, restMs), () => end('left'));
    }

    function receive(isLast: boolean, load: ReportedLoad): void {
      const {endpoint, at} = placed!;
      const now = clock.now();
      if (stream.firstMs === undefined) {
        stream.firstMs = now - sentAt;
        const firstMs = now - at;
        clock.after(HOP_MS, () =>
          scheduler.begin(asker, {id, endpoint, firstMs, load}),
        );
      } else {
        stream.longestGapMs = Math.max(stream.longestGapMs, now - lastDataAt);
      }
      lastDataAt = now;
      waitForData();
      if (isLast) {
        end('ended');
      }
    }

    function apply(decision: PlacementDecision): void {
      stream.decidedMs = clock.now() - sentAt;
      clock.after(HOP_MS, () => {
        if (stream.result === 'left') {
          return;
        }
        if (decision.type === 'rejected') {
          timeout.dispose();
          stream.result = 'rejected';
          stream.retryAfterMs = decision.retryAfterMs;
          if (!isReturning) {
            clock.after(decision.retryAfterMs, () =>
              send(played, prompt, fingerprint),
            );
          }
          return;
        }
        const engine = engines.get(decision.endpoint)!;
        placed = {endpoint: decision.endpoint, at: clock.now()};
        stream.speed = engine.speed;
        cancelJob = engine.run(prompt, {
          urgency,
          tokensToWrite: played.events * EVENT_TOKENS,
          onEvent: receive,
        });
      });
    }

    waitForData();
    clock.after(HOP_MS, () => {
      const request = {
        id,
        route: name,
        urgency,
        customer: '',
        failureDomain: 'a',
        targetAt: sentAt + targetMs,
        deadlineAt: sentAt + limitMs,
        prompt,
        fingerprint,
      };
      const answer = scheduler.request(asker, request, apply);
      if (answer.type !== 'queued') {
        apply(answer);
      }
    });
  }

  /** Sends about three requests within 20 ms, and the next ones later. */
  function sendGroup(played: PlayedClass, full: number): void {
    if (clock.now() >= options.endMs) {
      return;
    }
    for (let count = random.integer(1, 5); count > 0; count--) {
      const own = drawOwnTokens(random, played.ownTokens);
      const part = `${played.name}-${random.integer(1, SHARED_PARTS)}`;
      const prompt = {
        ownTokens: own,
        promptTokens: own + played.sharedTokens,
        sharedParts: [{id: part, tokens: played.sharedTokens}],
      };
      clock.after(random.next() * 20, () => send(played, prompt));
    }
    const clumpsPerMs =
      (played.perSecond * full * options.loadAt(clock.now(), played.name)) /
      3_000;
    clock.after(random.exponential(1 / clumpsPerMs), () =>
      sendGroup(played, full),
    );
  }

  for (const played of CLASSES) {
    sendGroup(played, fullLoad(options.engineCount));
  }
  clock.advanceSync(options.endMs);
  options.onDidEnd?.(scheduler.dump());
  clock.advanceSync(15_000);
  scheduler.dispose();
  return streams;
}

/** Returns the fraction of streams that began and went on in time. */
export function onTime(streams: readonly PlayedStream[]): number {
  const timely = streams.filter(
    ({name, result, firstMs = Infinity, longestGapMs}) =>
      result === 'ended' &&
      firstMs <= CLASSES.find(played => played.name === name)!.targetMs &&
      longestGapMs <= MAX_GAP_MS,
  );
  return timely.length / Math.max(1, streams.length);
}
