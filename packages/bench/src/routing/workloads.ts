/** Seeded multi-turn workloads modelled on the two users of the system. */
import {hash32, seededRandom, type Random} from '@skylarkfield/base';

/** Model replicas and callers of one user of the system. */
export interface Workload {
  readonly name: 'namu' | 'sahakarana';
  readonly replicas: number;
  /** New sessions per second over all customers. */
  readonly sessionsPerSecond: number;
  /** Fraction of the sessions by customer. */
  readonly customerShares: readonly number[];
  /** Length in blocks of the prompt prefix that all callers share. */
  readonly sharedBlocks: number;
  /** Draws a session of a customer. */
  session(customer: number, random: Random): Session;
}

/** Conversation whose prompt grows by an answer and a question per turn. */
export interface Session {
  readonly prompt: string;
  readonly turns: readonly Turn[];
}

export interface Turn {
  /** Text that the caller appends to the previous answer. */
  readonly question: string;
  readonly maxTokens: number;
  /** Milliseconds from the end of the previous answer until the question. */
  readonly thinkMs: number;
}

/**
 * Returns distinct words that depend only on the name.
 *
 * @example
 * distinctWords('a', 2); // 'a.0 a.1'
 */
export function distinctWords(name: string, count: number): string {
  return Array.from({length: count}, (_, index) => `${name}.${index}`).join(
    ' ',
  );
}

function drawTurns(
  random: Random,
  id: string,
  shape: {
    readonly turns: readonly [number, number];
    readonly answerTokens: readonly [number, number];
    readonly meanThinkMs: number;
  },
): Turn[] {
  const count = random.integer(...shape.turns);
  return Array.from({length: count}, (_, turnIndex) => ({
    question: distinctWords(`${id}q${turnIndex}`, random.integer(15, 60)),
    maxTokens: random.integer(...shape.answerTokens),
    thinkMs: turnIndex === 0 ? 0 : random.exponential(shape.meanThinkMs),
  }));
}

/** Draws a rank with weight 1/(rank + 1): low ranks are frequent. */
function drawZipfRank(random: Random, count: number): number {
  const totalWeight = Array.from({length: count}, (_, i) => 1 / (i + 1)).reduce(
    (a, b) => a + b,
    0,
  );
  let remaining = random.next() * totalWeight;
  for (let rank = 0; rank < count; rank++) {
    remaining -= 1 / (rank + 1);
    if (remaining <= 0) {
      return rank;
    }
  }
  return count - 1;
}

function drawId(random: Random): string {
  return random.integer(0, 0x3fffffff).toString(36);
}

const CUSTOMER_SHARES = [0.42, 0.28, 0.15, 0.1, 0.05];

/** Image matching: a shared prompt and catalogue, then a unique photo. */
const namu: Workload = {
  name: 'namu',
  replicas: 6,
  sessionsPerSecond: 4.5,
  customerShares: CUSTOMER_SHARES,
  sharedBlocks: 44,
  session(customer, random) {
    const id = drawId(random);
    const prompt = [
      distinctWords('system', 320),
      distinctWords(`catalogue${customer}`, 384),
      distinctWords(`photo${id}`, random.integer(500, 1600)),
    ].join(' ');
    const turns = drawTurns(random, id, {
      turns: [1, 5],
      answerTokens: [20, 120],
      meanThinkMs: 6000,
    });
    return {prompt, turns};
  },
};

/** Long histories of worker crews, queried repeatedly by few customers. */
const sahakarana: Workload = {
  name: 'sahakarana',
  replicas: 8,
  sessionsPerSecond: 3,
  customerShares: CUSTOMER_SHARES,
  sharedBlocks: 12,
  session(customer, random) {
    const crewCount = Math.round(20 + 80 * (CUSTOMER_SHARES[customer] ?? 0));
    const crew = `crew${customer}-${drawZipfRank(random, crewCount)}`;
    // A crew's history must have the same length in all of its sessions.
    const crewRandom = seededRandom(hash32(crew));
    const prompt = [
      distinctWords('system', 192),
      distinctWords(crew, crewRandom.integer(1800, 5200)),
    ].join(' ');
    const turns = drawTurns(random, drawId(random), {
      turns: [2, 6],
      answerTokens: [40, 200],
      meanThinkMs: 5000,
    });
    return {prompt, turns};
  },
};

export const workloads: readonly Workload[] = [namu, sahakarana];

/**
 * Draws a customer by the workload's customer shares.
 *
 * @example
 * const customer = drawCustomer(workload, random);
 */
export function drawCustomer(workload: Workload, random: Random): number {
  let remaining = random.next();
  const index = workload.customerShares.findIndex(
    share => (remaining -= share) < 0,
  );
  return index < 0 ? 0 : index;
}
