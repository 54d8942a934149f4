/** JSON-lines logs. */
import pino from 'pino';

export type Logger = pino.Logger;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Names of fields that may hold a secret; their values never reach a log. */
const SECRET_FIELDS = ['key', 'keys', 'authorization', 'secret', 'password'];

/** Where log lines go. */
export type LogSink = 'stderr' | 'stdout';

/** Bytes gathered before a write, so that a line costs no system call of its own. */
const GATHERED_BYTES = 4_096;

/**
 * Bytes that may wait for a slow reader; further lines are dropped. A process
 * must never wait for whoever reads its log, nor fill its memory for it.
 */
const MOST_WAITING_BYTES = 1_048_576;

/** Longest time that a line waits to be written out, in milliseconds. */
const FLUSH_MS = 250;

const destinations: Readonly<Record<LogSink, () => pino.DestinationStream>> = {
  stderr: () => pino.destination({fd: 2, sync: true}),
  stdout: gatheredStdout,
};

function gatheredStdout(): pino.DestinationStream {
  const stream = pino.destination({
    fd: 1,
    sync: false,
    minLength: GATHERED_BYTES,
    maxLength: MOST_WAITING_BYTES,
  });
  let isPlanned = false;
  function flush() {
    isPlanned = false;
    stream.flush();
  }
  process.once('exit', () => {
    try {
      stream.flushSync();
    } catch {
      // Nobody is left to tell when standard output itself is gone.
    }
  });
  return {
    write(line) {
      stream.write(line);
      if (!isPlanned) {
        isPlanned = true;
        setTimeout(flush, FLUSH_MS).unref();
      }
    },
  };
}

/**
 * Makes the process's logger. Lines go to standard error, at once, so that
 * standard output stays free for a command's own output; a server gives
 * `stdout`, where lines are gathered and dropped rather than waited for.
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
  const redacted = SECRET_FIELDS.flatMap(name => [name, `*.${name}`]);
  return pino(
    {
      level,
      base: fields,
      redact: redacted,
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    destinations[sink](),
  );
}

/**
 * A logger that writes nothing, for tests and replays.
 *
 * @example
 * const router = createRouter({log: silentLogger(), ...rest});
 */
export function silentLogger(): Logger {
  return pino({level: 'silent'});
}
