/**
 * Parses the command line: `NAME [--seed N] [--seconds N] [--out FILE]` or
 * `--list`.
 */
import {parseArgs} from 'node:util';

export interface BenchCommand {
  readonly name: string | undefined;
  readonly shouldList: boolean;
  readonly seed: number;
  readonly seconds: number | undefined;
  readonly outFile: string | undefined;
}

export const USAGE =
  'usage: npm run bench -- NAME [--seed N] [--seconds N] [--out FILE]\n' +
  '       npm run bench -- --list';

/** Seeds from 1 to 999 are for tuning, seeds from 1000 on for reports. */
const DEFAULT_SEED = 1000;

/**
 * Parses the arguments; throws an error that describes the first invalid
 * argument.
 *
 * @example
 * const command = parseCommand(process.argv.slice(2));
 */
export function parseCommand(args: readonly string[]): BenchCommand {
  const {values, positionals} = parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      list: {type: 'boolean', default: false},
      seed: {type: 'string'},
      seconds: {type: 'string'},
      out: {type: 'string'},
    },
  });
  if (positionals.length > 1) {
    throw new Error(
      `expected one measurement name, got ${positionals.join(', ')}`,
    );
  }
  return {
    name: positionals[0],
    shouldList: values.list,
    seed: parseNumber('seed', values.seed) ?? DEFAULT_SEED,
    seconds: parseNumber('seconds', values.seconds),
    outFile: values.out,
  };
}

function parseNumber(
  name: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) {
    throw new Error(`--${name} must be a number above 0, got ${text}`);
  }
  return value;
}
