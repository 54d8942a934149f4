/** Whether an entry that has just started knows enough to serve callers. */
import type {Clock, Disposable, Logger} from '@skylarkfield/base';
import type {CrashReport} from '@skylarkfield/routing';
import type {ActivePolicy} from '../policy/activePolicy.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {Mirror} from '../mirrors/mirror.js';

export interface Readiness extends Disposable {
  /**
   * False until the policy, the endpoints and the crash reports have arrived.
   * Before, this entry would reject all requests or send those that crash
   * endpoints.
   */
  isReady(): boolean;
}

/**
 * Maximum time to wait for the other objects after the first policy, in
 * milliseconds: two listings that time out. Objects that cannot be read must not
 * keep an entry out of service for good.
 */
const MAX_WAIT_MS = 2_000;

/**
 * Creates the readiness of one entry.
 *
 * @example
 * const readiness = createReadiness({policy, directory, crashes, clock, log});
 */
export function createReadiness(options: {
  readonly policy: Pick<ActivePolicy, 'isLoaded' | 'onDidChange'>;
  readonly directory: Pick<EndpointDirectory, 'isLoaded'>;
  readonly crashes: Pick<Mirror<CrashReport>, 'isLoaded'>;
  readonly clock: Clock;
  readonly log: Logger;
}): Readiness {
  const {policy, directory, crashes, clock, log} = options;
  let timer: Disposable | undefined;
  let hasTimedOut = false;

  function isComplete(): boolean {
    return directory.isLoaded() && crashes.isLoaded();
  }

  function endWait(): void {
    if (isComplete()) {
      return;
    }
    hasTimedOut = true;
    log.warn(
      {
        waitedMs: MAX_WAIT_MS,
        hasEndpoints: directory.isLoaded(),
        hasCrashReports: crashes.isLoaded(),
      },
      'ready without all objects of the platform',
    );
  }

  function limitWait(): void {
    if (policy.isLoaded()) {
      timer ??= clock.after(MAX_WAIT_MS, endWait);
    }
  }

  policy.onDidChange(limitWait);
  limitWait();
  return {
    isReady: () => policy.isLoaded() && (hasTimedOut || isComplete()),
    dispose: () => timer?.dispose(),
  };
}
