/** Exit codes of the command line. */
import type {ErrorKind} from '@skylarkfield/base';

export type ExitCode = 0 | 1 | 2 | 3 | 4;

/** Description of each exit code, shown by `skylarkfield --help`. */
export const exitCodeMeanings: Readonly<Record<ExitCode, string>> = {
  0: 'done',
  1: 'rejected or failed',
  2: 'invalid arguments, settings, records or input',
  3: 'a process or the platform is unreachable',
  4: 'the requested object does not exist',
};

const exitCodesByKind: Partial<Record<ErrorKind, ExitCode>> = {
  'bad-request': 2,
  'bad-settings': 2,
  'bad-record': 2,
  'platform-unavailable': 3,
  'endpoint-unavailable': 3,
  'not-ready': 3,
  'not-found': 4,
  'unknown-service': 4,
};

/**
 * Returns the exit code for an error kind, 1 unless a specific code is defined.
 *
 * @example
 * process.exitCode = exitCodeOf('bad-settings'); // 2
 */
export function exitCodeOf(kind: ErrorKind): ExitCode {
  return exitCodesByKind[kind] ?? 1;
}
