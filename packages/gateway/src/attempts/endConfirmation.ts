/** Confirms the unmarked ends of responses by probes of their endpoints. */
import {
  confirmEnd,
  sleep,
  type Clock,
  type QuestionResult,
} from '@skylarkfield/base';
import type {RouteKind} from '@skylarkfield/traffic';
import type {AddressProbe} from '../reach/addressProbe.js';

export interface EndConfirmation {
  /**
   * Resolves to true once the endpoint at the address answers, and to false if no
   * process listens there or the signal is aborted. A silent endpoint, which may
   * only be paused, is asked again until then. Never rejects.
   */
  confirm(
    address: string,
    kind: RouteKind,
    signal: AbortSignal,
  ): Promise<boolean>;
}

/**
 * Time between the end of a stream and the first question, in milliseconds: a
 * process that stops may close its connections before its port. The caller has
 * all events by then; other answers wait for their confirmation.
 */
const STREAM_SETTLE_MS = 100;

/** Timeout of one question, in milliseconds. */
const QUESTION_TIMEOUT_MS = 1_000;

/** A question to an endpoint, and the one that is sent once it has ended. */
interface Question {
  readonly number: number;
  readonly result: Promise<QuestionResult>;
  next?: Promise<QuestionResult>;
}

/**
 * Creates the confirmation of one entry. Responses that end while an endpoint is
 * being asked share the next question to it.
 *
 * @example
 * const isComplete = await endConfirmation.confirm('10.0.0.7:8000', 'idempotent', signal);
 */
export function createEndConfirmation({
  probe,
  clock,
}: {
  readonly probe: AddressProbe;
  readonly clock: Clock;
}): EndConfirmation {
  const questions = new Map<string, Question>();
  let questionCount = 0;

  /** Asks by a question whose number is at least the given one. */
  function ask(address: string, leastNumber: number): Promise<QuestionResult> {
    const running = questions.get(address);
    if (running === undefined) {
      return send(address);
    }
    if (running.number >= leastNumber) {
      return running.result;
    }
    running.next ??= running.result.then(() => send(address));
    return running.next;
  }

  function send(address: string): Promise<QuestionResult> {
    const question: Question = {
      number: questionCount++,
      result: probe(address, QUESTION_TIMEOUT_MS),
    };
    questions.set(address, question);
    void question.result.then(() => {
      if (question.next === undefined) {
        questions.delete(address);
      }
    });
    return question.result;
  }

  return {
    async confirm(address, kind, signal) {
      if (kind === 'streaming') {
        await sleep(clock, STREAM_SETTLE_MS);
      }
      const leastNumber = questionCount;
      return confirmEnd(() => ask(address, leastNumber), clock, signal);
    },
  };
}
