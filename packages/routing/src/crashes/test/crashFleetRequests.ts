/** Requests to simulated entries: sound ones, and those that crash endpoints. */
import type {Clock, Random} from '@skylarkfield/base';
import {promptPartSuspects} from '../crashSuspects.js';

/** Durations of responses in milliseconds, with their shares. */
const DURATIONS: readonly (readonly [number, number])[] = [
  [80, 0.45],
  [900, 0.35],
  [2_200, 0.2],
];

/** Customers' shares of the requests. */
const CUSTOMERS = [0.4, 0.25, 0.2, 0.1, 0.05] as const;
const TOPIC_COUNT = 72;
/** Requests of one session, which share a part. */
const SESSION_LENGTH = 4;
/** Latest sessions that may still send requests. */
const RECENT_SESSIONS = 20;

export interface SimulatedRequest {
  readonly id: string;
  readonly parts: readonly string[];
  readonly suspectParts: readonly string[];
  readonly deadlyPart: string | undefined;
  readonly customer: number;
  readonly durationMs: number;
  readonly sentAtMs: number;
  sends: number;
}

/** Requests with one part that crashes endpoints. */
export interface DeadlyLoad {
  readonly part: string;
  /** Requests that are sent at each time. */
  readonly count: number;
  readonly intervalMs: number;
  /** Position of the part among the first three; drawn anew by default. */
  readonly position?: number;
  /** Whether the customers send them in turn; by default the first one does. */
  readonly ofAllCustomers?: boolean;
  /** Whether each request has another part, named after `part`. */
  readonly isChanging?: boolean;
}

/** Source of requests with random customers, topics and durations. */
export interface RequestSource {
  createSoundRequest(): SimulatedRequest;
  /** Creates the request of a load with the given number in its sequence. */
  createDeadlyRequest(load: DeadlyLoad, index: number): SimulatedRequest;
}

/**
 * Creates a source that has created no requests.
 *
 * @example
 * const requests = createRequestSource(clock, seededRandom(1));
 * const request = requests.createSoundRequest();
 */
export function createRequestSource(
  clock: Clock,
  random: Random,
): RequestSource {
  let requestCount = 0;
  let sessionCount = 0;

  function drawFrom<T>(shares: readonly (readonly [T, number])[]): T {
    let remaining = random.next();
    for (const [value, share] of shares) {
      remaining -= share;
      if (remaining < 0) {
        return value;
      }
    }
    return shares.at(-1)![0];
  }

  function drawCustomer(): number {
    return drawFrom(CUSTOMERS.map((share, index) => [index, share] as const));
  }

  /** Few topics are popular, most are rare. */
  function drawTopic(): string {
    return `topic${Math.floor(TOPIC_COUNT * random.next() ** 2)}`;
  }

  function createRequest(
    customer: number,
    parts: readonly string[],
    deadlyPart?: string,
  ): SimulatedRequest {
    requestCount += 1;
    const allParts = [...parts, `own${requestCount}`];
    return {
      id: `r${requestCount}`,
      parts: allParts,
      suspectParts: promptPartSuspects('m', allParts),
      deadlyPart,
      customer,
      durationMs: drawFrom(DURATIONS),
      sentAtMs: clock.now(),
      sends: 0,
    };
  }

  return {
    createSoundRequest() {
      if (random.next() < 1 / SESSION_LENGTH) {
        sessionCount += 1;
      }
      const recentSession =
        sessionCount - Math.floor(random.next() * RECENT_SESSIONS);
      const customer = drawCustomer();
      return createRequest(customer, [
        `customer${customer}`,
        drawTopic(),
        `session${recentSession}`,
      ]);
    },
    createDeadlyRequest({part, position, ofAllCustomers, isChanging}, index) {
      const customer = ofAllCustomers ? index % CUSTOMERS.length : 0;
      const deadlyPart = isChanging ? `${part}${requestCount}` : part;
      const parts = [`customer${customer}`, drawTopic()];
      parts.splice(position ?? Math.floor(random.next() * 3), 0, deadlyPart);
      return createRequest(customer, parts, part);
    },
  };
}
