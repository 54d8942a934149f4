/** Runs the servers of commands until the process receives a stop signal. */
import {printJson} from './output.js';

interface Stoppable {
  stop(): Promise<void>;
}

/**
 * Prints one JSON line with the listen addresses, then waits for SIGTERM or
 * SIGINT and stops the server gracefully. SIGINT during the stop exits at once;
 * SIGTERM is ignored then.
 *
 * @example
 * await runUntilStopped(standin, {url: standin.url});
 */
export async function runUntilStopped(
  server: Stoppable,
  addresses: Readonly<Record<string, string>>,
): Promise<void> {
  printJson({ready: true, pid: process.pid, ...addresses});
  await waitForStopSignal();
  process.once('SIGINT', () => process.exit(130));
  // Without a listener, the signal would end the process at once.
  process.on('SIGTERM', () => {});
  await server.stop();
}

function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    // Keeps the event loop alive while only unreferenced timers are left.
    const keepAlive = setInterval(() => {}, 60_000);
    const onSignal = () => {
      clearInterval(keepAlive);
      resolve();
    };
    process.once('SIGTERM', onSignal);
    process.once('SIGINT', onSignal);
  });
}
