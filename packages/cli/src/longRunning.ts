/** Commands that run until they are told to stop. */
import {printJson} from './output.js';

interface Stoppable {
  stop(): Promise<void>;
}

/**
 * Prints one JSON line with where the process listens, then waits for SIGTERM
 * or SIGINT and stops gracefully. A second signal ends the process at once.
 *
 * @example
 * await runUntilStopped(standin, {url: standin.url});
 */
export async function runUntilStopped(
  running: Stoppable,
  addresses: Readonly<Record<string, string>>,
): Promise<void> {
  printJson({ready: true, pid: process.pid, ...addresses});
  await stopSignal();
  process.once('SIGINT', () => process.exit(130));
  await running.stop();
}

function stopSignal(): Promise<void> {
  return new Promise(resolve => {
    // Without a handle the loop would end while only unreferenced timers are left.
    const keepAlive = setInterval(() => {}, 60_000);
    const finish = () => {
      clearInterval(keepAlive);
      resolve();
    };
    process.once('SIGTERM', finish);
    process.once('SIGINT', finish);
  });
}
