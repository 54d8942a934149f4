/** Entry point: dispatches to a command and maps errors to exit codes. */
import {Config} from '@oclif/core';
import {ServingError, toServingError} from '@skylarkfield/base';
import {commands, type RunnableCommand} from './commandTable.js';
import {exitCodeOf} from './exitCodes.js';
import {printCommandHelp, printOverview} from './help.js';
import {printLine} from './output.js';
import {VERSION} from './version.js';

/** Passed to oclif, because the executable has no package.json to read. */
const PACKAGE_JSON = {
  name: 'skylarkfield',
  version: VERSION,
  oclif: {bin: 'skylarkfield'},
};

const USAGE_ERROR_EXIT_CODE = 2;

interface CommandMatch {
  readonly name: string;
  readonly command: RunnableCommand;
  readonly commandArgs: readonly string[];
}

/** Matches a two-word command name or, if none matches, a one-word name. */
function matchCommand(args: readonly string[]): CommandMatch | undefined {
  for (const wordCount of [2, 1]) {
    const name = args.slice(0, wordCount).join(' ');
    const command = commands.get(name);
    if (command !== undefined) {
      return {name, command, commandArgs: args.slice(wordCount)};
    }
  }
  return undefined;
}

async function main(args: readonly string[]): Promise<void> {
  const firstArg = args[0];
  if (firstArg === undefined || firstArg === '--help' || firstArg === 'help') {
    printOverview(commands);
    return;
  }
  if (firstArg === '--version') {
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
  if (match.commandArgs.includes('--help')) {
    printCommandHelp(match.name, match.command, config);
    return;
  }
  const {command} = match;
  command.id = match.name;
  await command.run([...match.commandArgs], config);
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
