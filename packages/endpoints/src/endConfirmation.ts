/** Confirms the unmarked ends of a plain service's responses. */
import {confirmEnd, type Clock, type QuestionResult} from '@skylarkfield/base';
import {Client, type buildConnector} from 'undici';

/**
 * Resolves to whether the endpoint has answered after the end of its response; see
 * `confirmEnd`. Never rejects.
 */
export type EndConfirmation = (signal: AbortSignal) => Promise<boolean>;

/** Timeout of the response to one question, in milliseconds. */
const QUESTION_TIMEOUT_MS = 1_000;

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

  async function ask(signal: AbortSignal): Promise<QuestionResult> {
    // A connection of its own: an open one may outlive the port.
    const client = new Client(origin, {
      connect,
      headersTimeout: QUESTION_TIMEOUT_MS,
    });
    try {
      const {body} = await client.request({method: 'GET', path, signal});
      body.on('error', () => {});
      return 'answered';
    } catch (error) {
      return isConnectionRefused(error) ? 'refused' : 'unanswered';
    } finally {
      void client.destroy();
    }
  }

  return signal => confirmEnd(() => ask(signal), clock, signal);
}

function isConnectionRefused(error: unknown): boolean {
  return (
    error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
  );
}
