/** Registry of all commands by name. */
import type {Command, Config} from '@oclif/core';
import {CheckRecordCommand} from './commands/checkRecord.js';
import {CheckSettingsCommand} from './commands/checkSettings.js';
import {DecisionsCommand} from './commands/decisions.js';
import {DumpCommand} from './commands/dump.js';
import {EntryCommand} from './commands/entry.js';
import {GetRecordCommand} from './commands/getRecord.js';
import {LookupCommand} from './commands/lookup.js';
import {PutRecordCommand} from './commands/putRecord.js';
import {RemoveRecordCommand} from './commands/removeRecord.js';
import {SendCallCommand} from './commands/sendCall.js';
import {SendChatCommand} from './commands/sendChat.js';
import {StandinEngineCommand} from './commands/standinEngine.js';
import {StandinPlatformCommand} from './commands/standinPlatform.js';
import {StandinServiceCommand} from './commands/standinService.js';
import {StatusCommand} from './commands/status.js';

/** Static members of a command class that dispatch and help output use. */
export interface RunnableCommand {
  id: string;
  readonly description?: string | undefined;
  readonly examples: Command.Example[];
  readonly flags: Readonly<Record<string, object>>;
  readonly args: Readonly<Record<string, object>>;
  readonly strict: boolean;
  run(argv: string[], config: Config): Promise<unknown>;
}

export const commands: ReadonlyMap<string, RunnableCommand> = new Map<
  string,
  RunnableCommand
>([
  ['entry', EntryCommand],
  ['check settings', CheckSettingsCommand],
  ['check record', CheckRecordCommand],
  ['record put', PutRecordCommand],
  ['record get', GetRecordCommand],
  ['record remove', RemoveRecordCommand],
  ['status', StatusCommand],
  ['lookup', LookupCommand],
  ['send chat', SendChatCommand],
  ['send call', SendCallCommand],
  ['dump', DumpCommand],
  ['decisions', DecisionsCommand],
  ['standin platform', StandinPlatformCommand],
  ['standin engine', StandinEngineCommand],
  ['standin service', StandinServiceCommand],
]);
