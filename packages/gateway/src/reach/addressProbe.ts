/** Asks the process at an address for any response, over a new connection. */
import type {Clock, Disposable, QuestionResult} from '@skylarkfield/base';
import {isConnectionRefused} from '../attempts/attemptOutcome.js';
import {createUpstreams, type EndpointConnector} from '../attempts/upstream.js';
import type {CallFormat, ResponseHead} from '../contracts.js';

/**
 * Probes an address; `onDidRespond` is called with the head of the response.
 * Never rejects.
 */
export type AddressProbe = (
  address: string,
  timeoutMs: number,
  onDidRespond?: (head: ResponseHead) => void,
) => Promise<QuestionResult>;

/**
 * Lateness of a timer, in milliseconds, from which the process was paused: a
 * response may be waiting in the socket, or the probe may not have been sent.
 */
const PAUSE_MS = 150;

/**
 * Creates the probe of one entry. Any response counts, whatever its status.
 *
 * @example
 * const probe = createAddressProbe({clock, connect, format});
 * const result = await probe('10.0.0.7:8000', 300);
 */
export function createAddressProbe(options: {
  readonly clock: Clock;
  readonly connect: EndpointConnector;
  readonly format: Pick<CallFormat, 'buildProbe' | 'parseResponseHead'>;
}): AddressProbe {
  const {clock, connect, format} = options;

  /** Calls back after the timeout; a late timer starts the timeout again. */
  function startTimeout(timeoutMs: number, onExpired: () => void): Disposable {
    let timer: Disposable;
    function arm(): void {
      const dueAt = clock.now() + timeoutMs;
      timer = clock.after(timeoutMs, () =>
        clock.now() - dueAt > PAUSE_MS ? arm() : onExpired(),
      );
    }
    arm();
    return {dispose: () => timer.dispose()};
  }

  return (address, timeoutMs, onDidRespond = () => {}) => {
    // Connections of its own: an open connection may work if new ones do not.
    const upstreams = createUpstreams(connect);
    return new Promise(resolve => {
      const timer = startTimeout(timeoutMs, () => finish('unanswered'));
      function finish(result: QuestionResult): void {
        timer.dispose();
        resolve(result);
        upstreams.dispose();
      }
      const {path, headers} = format.buildProbe();
      upstreams.send(
        address,
        {
          method: 'GET',
          path,
          headers: Object.entries(headers).flat(),
          body: undefined,
        },
        {
          onDidRespond(status, responseHeaders) {
            onDidRespond(format.parseResponseHead(responseHeaders, status));
            finish('answered');
          },
          onDidReceive() {},
          onDidEnd: () => finish('answered'),
          onDidFail: error =>
            finish(isConnectionRefused(error) ? 'refused' : 'unanswered'),
        },
      );
    });
  };
}
