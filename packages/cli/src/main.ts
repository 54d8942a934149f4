/** The one binary: finds the command, runs it, and turns errors into exit codes. */
import {Config} from '@oclif/core';
import {ServingError, toServingError} from '@skylarkfield/base';
import {commands, type RunnableCommand} from './commandTable.js';
import {exitCodeOf} from './exitCodes.js';
import {printCommandHelp, printOverview} from './help.js';
import {printLine} from './output.js';
import {VERSION} from './version.js';

/** oclif reads its own package file at start; a single executable has none beside it. */
const PACKAGE = {
  name: 'skylarkfield',
  version: VERSION,
  oclif: {bin: 'skylarkfield'},
};

const WRONG_ARGUMENTS = 2;

interface FoundCommand {
  readonly name: string;
  readonly command: RunnableCommand;
  readonly rest: readonly string[];
}

/** Command names have one or two words; the longer match wins. */
function findCommand(words: readonly string[]): FoundCommand | undefined {
  for (const length of [2, 1]) {
    const name = words.slice(0, length).join(' ');
    const command = commands.get(name);
    if (command !== undefined) {
      return {name, command, rest: words.slice(length)};
    }
  }
  return undefined;
}

async function main(words: readonly string[]): Promise<void> {
  const first = words[0];
  if (first === undefined || first === '--help' || first === 'help') {
    printOverview(commands);
    return;
  }
  if (first === '--version') {
    printLine(VERSION);
    return;
  }
  const found = findCommand(words);
  if (found === undefined) {
    throw new ServingError(
      'bad-settings',
      `no command ${JSON.stringify(words.slice(0, 2).join(' '))}; see skylarkfield --help`,
    );
  }
  const config = await loadConfig();
  if (found.rest.includes('--help')) {
    printCommandHelp(found.name, found.command, config);
    return;
  }
  const {command} = found;
  command.id = found.name;
  await command.run([...found.rest], config);
}

async function loadConfig(): Promise<Config> {
  const config = new Config({
    root: process.cwd(),
    pjson: PACKAGE,
  } as never);
  await config.load();
  return config;
}

function reportFailure(error: unknown): void {
  if (isArgumentError(error)) {
    console.error(error.message);
    process.exitCode = WRONG_ARGUMENTS;
    return;
  }
  const failure = toServingError(error);
  console.error(`${failure.kind}: ${failure.message}`);
  process.exitCode = exitCodeOf(failure.kind);
}

/** oclif's parser marks its errors with an exit code of its own. */
function isArgumentError(error: unknown): error is Error {
  return error instanceof Error && 'oclif' in error;
}

main(process.argv.slice(2)).catch(reportFailure);
