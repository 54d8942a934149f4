/** JSON-lines logs. */
import pino from 'pino';

export type Logger = pino.Logger;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Names of fields that may hold a secret; their values never reach a log. */
const SECRET_FIELDS = ['key', 'keys', 'authorization', 'secret', 'password'];

/**
 * Makes the process's logger; lines go to standard error so that standard
 * output stays free for a command's own output.
 *
 * @example
 * const log = createLogger('info', {entry: 'a1'});
 * log.info({service: 'booking'}, 'service added');
 */
export function createLogger(
  level: LogLevel,
  fields: Record<string, string> = {},
): Logger {
  const redacted = SECRET_FIELDS.flatMap(name => [name, `*.${name}`]);
  return pino(
    {
      level,
      base: fields,
      redact: redacted,
      timestamp: pino.stdTimeFunctions.isoTime,
    },
    pino.destination({fd: 2, sync: true}),
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
