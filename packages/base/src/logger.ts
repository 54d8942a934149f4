/** Logger that writes JSON lines. */
import pino from 'pino';

export type Logger = pino.Logger;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Names of fields that may contain a secret; their values are redacted. */
const SECRET_FIELDS = ['key', 'keys', 'authorization', 'secret', 'password'];

/** Destination of log lines. */
export type LogSink = 'stderr' | 'stdout';

/** Number of buffered bytes that triggers a write; saves system calls. */
const WRITE_BATCH_BYTES = 4_096;

/**
 * Maximum number of buffered bytes; further lines are dropped. A slow reader of
 * the log must neither block the process nor exhaust its memory.
 */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Maximum time that a line is buffered, in milliseconds. */
const MAX_FLUSH_DELAY_MS = 250;

const destinationFactories: Readonly<
  Record<LogSink, () => pino.DestinationStream>
> = {
  stderr: () => pino.destination({fd: 2, sync: true}),
  stdout: createBufferedStdout,
};

function createBufferedStdout(): pino.DestinationStream {
  const stream = pino.destination({
    fd: 1,
    sync: false,
    minLength: WRITE_BATCH_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let isFlushScheduled = false;
  function flush() {
    isFlushScheduled = false;
    stream.flush();
  }
  process.once('exit', () => {
    try {
      stream.flushSync();
    } catch {
      // The error cannot be logged: standard output is closed.
    }
  });
  return {
    write(line) {
      stream.write(line);
      if (!isFlushScheduled) {
        isFlushScheduled = true;
        setTimeout(flush, MAX_FLUSH_DELAY_MS).unref();
      }
    },
  };
}

/**
 * Creates the logger of the process. Lines go synchronously to standard error,
 * which leaves standard output to a command's own output. A server uses
 * `stdout`, where lines are buffered, and dropped if the reader is slow.
 *
 * @example
 * const log = createLogger('info', {entry: 'a1'});
 * log.info({service: 'booking'}, 'service added');
 */
export function createLogger(
  level: LogLevel,
  fields: Record<string, string> = {},
  sink: LogSink = 'stderr',
): Logger {
  const redactedPaths = SECRET_FIELDS.flatMap(name => [name, `*.${name}`]);
  return pino(
    {
      level,
      base: fields,
      redact: redactedPaths,
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    destinationFactories[sink](),
  );
}

/**
 * Returns a logger that writes nothing, for tests and replays.
 *
 * @example
 * const router = createRouter({log: createSilentLogger(), ...rest});
 */
export function createSilentLogger(): Logger {
  return pino({level: 'silent'});
}
