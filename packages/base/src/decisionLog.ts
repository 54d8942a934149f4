/** A bounded, in-memory record of what a process decided and why. */
import type {Clock} from './clock.js';
import type {Logger} from './logger.js';

/** One decision with its cause and the figures behind it. */
export interface Decision {
  /** Wall-clock milliseconds since 1970. */
  readonly at: number;
  /** The package that decided, like `moves`. */
  readonly by: string;
  /** What was decided, as a short verb phrase, like `cut share to 0`. */
  readonly what: string;
  /** Why, in a form an operator understands. */
  readonly why: string;
  /** What it is about, like a service or member name. */
  readonly subject: string;
  /** The figures that led to it. */
  readonly figures: Readonly<Record<string, number | string>>;
}

export interface DecisionLog {
  /** Notes a decision; the oldest is dropped when the log is full. */
  note(
    by: string,
    subject: string,
    what: string,
    why: string,
    figures?: Readonly<Record<string, number | string>>,
  ): void;
  /** The kept decisions, oldest first. */
  list(): readonly Decision[];
}

const DEFAULT_CAPACITY = 500;

/**
 * Makes a decision log that also writes each decision as a log line.
 *
 * @example
 * decisions.note('routing', 'r3', 'eject', '5 failures in a row', {failures: 5});
 */
export function decisionLog(
  clock: Clock,
  log: Logger,
  capacity = DEFAULT_CAPACITY,
): DecisionLog {
  const kept: Decision[] = [];
  return {
    note(by, subject, what, why, figures = {}) {
      const decision = {at: clock.wall(), by, what, why, subject, figures};
      kept.push(decision);
      if (kept.length > capacity) {
        kept.shift();
      }
      log.info({decision}, `${by}: ${what} (${subject}): ${why}`);
    },
    list: () => kept,
  };
}
