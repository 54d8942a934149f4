/** What the command's exit code tells a script. */
import type {ErrorKind} from '@skylarkfield/base';

export type ExitCode = 0 | 1 | 2 | 3 | 4;

/** One line per exit code, shown by `skylarkfield --help`. */
export const exitCodeMeanings: Readonly<Record<ExitCode, string>> = {
  0: 'done',
  1: 'refused or failed',
  2: 'wrong arguments, settings, records or input',
  3: 'a process or the platform could not be reached',
  4: 'what was asked for does not exist',
};

const byKind: Partial<Record<ErrorKind, ExitCode>> = {
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
 * The exit code for an error kind; kinds that are not listed fail with 1.
 *
 * @example
 * process.exitCode = exitCodeOf('bad-settings'); // 2
 */
export function exitCodeOf(kind: ErrorKind): ExitCode {
  return byKind[kind] ?? 1;
}
