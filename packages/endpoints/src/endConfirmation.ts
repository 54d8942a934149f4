/**
 * Confirms the ends of responses that only the close of their connection marks.
 *
 * The kernel of a process that is killed closes its connections in order, so such
 * an end may be that of the endpoint. It counts once the endpoint has answered a
 * question that was sent after it.
 */
import {sleep, type Clock} from '@skylarkfield/base';
import {Client, type buildConnector} from 'undici';

/**
 * Resolves to true once the endpoint answers, and to false if no process listens
 * there or the signal is aborted. A silent endpoint, which may only be paused, is
 * asked again until then. Never rejects.
 */
export type EndConfirmation = (signal: AbortSignal) => Promise<boolean>;

/** Timeout of the response to one question, in milliseconds. */
const QUESTION_TIMEOUT_MS = 1_000;

/** Time between an unanswered question and the next one, in milliseconds. */
const QUESTION_INTERVAL_MS = 50;

/**
 * Creates the confirmation for one endpoint. Any response to a GET of the path
 * counts, whatever its status.
 *
 * @example
 * const confirmEnd = createEndConfirmation({origin, path: '/load', connect, clock});
 * const isComplete = await confirmEnd(signal);
 */
export function createEndConfirmation(options: {
  readonly origin: string;
  readonly path: string;
  readonly connect: buildConnector.connector;
  readonly clock: Clock;
}): EndConfirmation {
  const {origin, path, connect, clock} = options;

  /** Returns undefined if the endpoint is silent. */
  async function ask(signal: AbortSignal): Promise<boolean | undefined> {
    // A connection of its own: an open one may outlive the port.
    const client = new Client(origin, {
      connect,
      headersTimeout: QUESTION_TIMEOUT_MS,
    });
    try {
      const {body} = await client.request({method: 'GET', path, signal});
      body.on('error', () => {});
      return true;
    } catch (error) {
      return isConnectionRefused(error) ? false : undefined;
    } finally {
      void client.destroy();
    }
  }

  return async signal => {
    while (!signal.aborted) {
      const isAnswered = await ask(signal);
      if (isAnswered !== undefined) {
        return isAnswered;
      }
      await sleep(clock, QUESTION_INTERVAL_MS);
    }
    return false;
  };
}

function isConnectionRefused(error: unknown): boolean {
  return (
    error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
  );
}
