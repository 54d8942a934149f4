/** Bounded in-memory log of a process's decisions and their reasons. */
import type {Clock} from './clock.js';
import type {Logger} from './logger.js';

/** Decision of a component, with its reason and the underlying figures. */
export interface Decision {
  /** Wall-clock milliseconds since 1970. */
  readonly at: number;
  /** Package that made the decision, like `moves`. */
  readonly by: string;
  /** The decision as a short verb phrase, like `cut share to 0`. */
  readonly what: string;
  /** Reason, for the operator. */
  readonly why: string;
  /** Subject of the decision, like the name of a service or member. */
  readonly subject: string;
  /** Figures that the decision is based on. */
  readonly figures: Readonly<Record<string, number | string>>;
}

export interface DecisionLog {
  /** Adds a decision; drops the oldest decision when the log is full. */
  recordDecision(
    packageName: string,
    subject: string,
    what: string,
    why: string,
    figures?: Readonly<Record<string, number | string>>,
  ): void;
  /** Logged decisions, oldest first. */
  list(): readonly Decision[];
}

const DEFAULT_CAPACITY = 500;

/**
 * Creates a decision log that also writes each decision as a log line.
 *
 * @example
 * decisions.recordDecision('routing', 'r3', 'eject', '5 failures in a row', {failures: 5});
 */
export function createDecisionLog(
  clock: Clock,
  log: Logger,
  capacity = DEFAULT_CAPACITY,
): DecisionLog {
  const decisions: Decision[] = [];
  return {
    recordDecision(packageName, subject, what, why, figures = {}) {
      const decision = {
        at: clock.wall(),
        by: packageName,
        what,
        why,
        subject,
        figures,
      };
      decisions.push(decision);
      if (decisions.length > capacity) {
        decisions.shift();
      }
      log.info({decision}, `${packageName}: ${what} (${subject}): ${why}`);
    },
    list: () => decisions,
  };
}
