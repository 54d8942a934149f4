/** Help output of the command line. */
import {CommandHelp, type Config} from '@oclif/core';
import type {RunnableCommand} from './commandTable.js';
import {exitCodeMeanings} from './exitCodes.js';
import {printLine} from './output.js';

/**
 * Prints the list of commands and exit codes.
 *
 * @example
 * printOverview(commands);
 */
export function printOverview(
  commands: ReadonlyMap<string, RunnableCommand>,
): void {
  printLine(
    'skylarkfield: serving system for model replicas and plain services\n',
  );
  printLine('USAGE\n  $ skylarkfield COMMAND [OPTIONS]\n\nCOMMANDS');
  const width = Math.max(...[...commands.keys()].map(name => name.length));
  for (const [name, command] of commands) {
    const summary = (command.description ?? '').split('. ')[0];
    printLine(`  ${name.padEnd(width)}  ${summary}`);
  }
  printLine('\n  skylarkfield COMMAND --help shows options and examples\n');
  printLine('EXIT CODES');
  for (const [code, meaning] of Object.entries(exitCodeMeanings)) {
    printLine(`  ${code}  ${meaning}`);
  }
}

/**
 * Prints options and examples of one command. The command is passed explicitly,
 * because the bundled executable has no folder in which oclif finds commands.
 *
 * @example
 * printCommandHelp('dump', DumpCommand, config);
 */
export function printCommandHelp(
  name: string,
  command: RunnableCommand,
  config: Config,
): void {
  const commandMetadata = {
    id: name,
    description: command.description,
    examples: command.examples,
    flags: addNames(command.flags),
    args: addNames(command.args),
    aliases: [],
    hiddenAliases: [],
    hidden: false,
    strict: command.strict,
  };
  const help = new CommandHelp(commandMetadata as never, config, {
    maxWidth: 100,
  } as never);
  printLine(help.generate());
}

function addNames(
  flagsOrArgs: Readonly<Record<string, object>>,
): Record<string, object> {
  const namedItems = Object.entries(flagsOrArgs).map(([name, flagOrArg]) => [
    name,
    {...flagOrArg, name},
  ]);
  return Object.fromEntries(namedItems) as Record<string, object>;
}
