/** Starts, pauses and stops one process of a trial fleet. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** Time limit for a process to start listening. */
const READY_TIMEOUT_MS = 30_000;
/** Time limit for a graceful stop before the process is killed. */
const STOP_TIMEOUT_MS = 45_000;
/** Number of last lines of standard error kept for error messages. */
const MAX_LOG_LINES = 200;

/** Environment variable: path of a binary that replaces `COMMAND_LINE`. */
const BINARY_VARIABLE = 'SKYLARKFIELD_BINARY';
const COMMAND_LINE = fileURLToPath(
  new URL('../../../cli/out/main.js', import.meta.url),
);

/** JSON line that a process prints to standard output when it listens. */
export type ReadyLine = Readonly<Record<string, string>>;

export interface TrialProcess {
  readonly name: string;
  readonly pid: number;
  readonly ready: ReadyLine;
  /** Returns the last lines that the process wrote to standard error. */
  logLines(): readonly string[];
  /** Sends SIGSTOP: the process is suspended and keeps its sockets. */
  pause(): void;
  /** Sends SIGCONT: the suspended process continues. */
  resume(): void;
  /** Sends SIGTERM and resolves with the exit code. */
  stop(): Promise<number | null>;
  /** Sends SIGKILL and waits for the exit. */
  kill(): Promise<void>;
  hasEnded(): boolean;
}

/**
 * Starts `skylarkfield ARGUMENTS` and waits until the process listens. If it
 * does not listen in time, throws an error with the last lines of its standard
 * error.
 *
 * @example
 * const platform = await startProcess('platform', ['standin', 'platform']);
 */
export async function startProcess(
  name: string,
  args: readonly string[],
): Promise<TrialProcess> {
  const binary = process.env[BINARY_VARIABLE];
  const child = spawn(
    binary ?? process.execPath,
    binary === undefined ? [COMMAND_LINE, ...args] : [...args],
    {stdio: ['ignore', 'pipe', 'pipe']},
  );
  const logLines: string[] = [];
  createInterface({input: child.stderr}).on('line', line => {
    logLines.push(line);
    if (logLines.length > MAX_LOG_LINES) {
      logLines.shift();
    }
  });
  const exitCodePromise = new Promise<number | null>(resolve => {
    child.once('exit', code => resolve(code));
  });
  const ready = await waitForReady(name, child, logLines);
  return {
    name,
    pid: child.pid ?? 0,
    ready,
    logLines: () => logLines,
    pause: () => void child.kill('SIGSTOP'),
    resume: () => void child.kill('SIGCONT'),
    async stop() {
      child.kill('SIGTERM');
      const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
      const code = await exitCodePromise;
      clearTimeout(timer);
      return code;
    },
    async kill() {
      child.kill('SIGKILL');
      await exitCodePromise;
    },
    hasEnded: () => child.exitCode !== null || child.signalCode !== null,
  };
}

function waitForReady(
  name: string,
  child: ChildProcess,
  logLines: readonly string[],
): Promise<ReadyLine> {
  return new Promise((resolve, reject) => {
    const output = createInterface({input: child.stdout as never});
    const timer = setTimeout(
      () => fail('did not start listening in time'),
      READY_TIMEOUT_MS,
    );
    const onExit = () => fail('exited before it started listening');
    child.once('exit', onExit);
    output.once('line', line => {
      clearTimeout(timer);
      child.off('exit', onExit);
      resolve(JSON.parse(line) as ReadyLine);
    });
    function fail(reason: string) {
      clearTimeout(timer);
      child.kill('SIGKILL');
      reject(new Error(`${name} ${reason}:\n${logLines.join('\n')}`));
    }
  });
}
