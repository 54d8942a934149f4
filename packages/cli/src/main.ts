/** Entry point: dispatches to a command and maps errors to exit codes. */
import {Config} from '@oclif/core';
import {ServingError, toServingError} from '@skylarkfield/base';
import {commands, type RunnableCommand} from './commandTable.js';
import {exitCodeOf} from './exitCodes.js';
import {printCommandHelp, printOverview} from './help.js';
import {printLine} from './output.js';
import {VERSION} from './version.js';

/** Replaces the package.json that oclif reads; the executable has none. */
const PACKAGE_JSON = {
  name: 'skylarkfield',
  version: VERSION,
  oclif: {bin: 'skylarkfield'},
};

const USAGE_ERROR_EXIT_CODE = 2;

interface CommandMatch {
  readonly name: string;
  readonly command: RunnableCommand;
  readonly rest: readonly string[];
}

/** Matches a command name of two words or, if there is none, of one word. */
function matchCommand(args: readonly string[]): CommandMatch | undefined {
  for (const length of [2, 1]) {
    const name = args.slice(0, length).join(' ');
    const command = commands.get(name);
    if (command !== undefined) {
      return {name, command, rest: args.slice(length)};
    }
  }
  return undefined;
}

async function main(args: readonly string[]): Promise<void> {
  const first = args[0];
  if (first === undefined || first === '--help' || first === 'help') {
    printOverview(commands);
    return;
  }
  if (first === '--version') {
    printLine(VERSION);
    return;
  }
  const match = matchCommand(args);
  if (match === undefined) {
    throw new ServingError(
      'bad-settings',
      `no command ${JSON.stringify(args.slice(0, 2).join(' '))}; see skylarkfield --help`,
    );
  }
  const config = await loadConfig();
  if (match.rest.includes('--help')) {
    printCommandHelp(match.name, match.command, config);
    return;
  }
  const {command} = match;
  command.id = match.name;
  await command.run([...match.rest], config);
}

async function loadConfig(): Promise<Config> {
  const config = new Config({
    root: process.cwd(),
    pjson: PACKAGE_JSON,
  } as never);
  await config.load();
  return config;
}

function reportError(error: unknown): void {
  if (isUsageError(error)) {
    console.error(error.message);
    process.exitCode = USAGE_ERROR_EXIT_CODE;
    return;
  }
  const servingError = toServingError(error);
  console.error(`${servingError.kind}: ${servingError.message}`);
  process.exitCode = exitCodeOf(servingError.kind);
}

/** Errors of the oclif parser carry an `oclif` property with an exit code. */
function isUsageError(error: unknown): error is Error {
  return error instanceof Error && 'oclif' in error;
}

main(process.argv.slice(2)).catch(reportError);
