import {Command, Flags} from '@oclif/core';
import {adminFlags} from '../adminFlags.js';
import {requestJson} from '../input.js';
import {printJson, printLine} from '../output.js';

export class DumpCommand extends Command {
  static override description =
    'Show the state machines, queues and cached views of an entry.';
  static override examples = [
    'skylarkfield dump --admin http://127.0.0.1:9001 --key ADMIN-KEY',
    'skylarkfield dump --admin http://127.0.0.1:9001 --part routing --json',
  ];
  static override flags = {
    ...adminFlags,
    part: Flags.string({
      description: 'show only this top-level part of the dump',
    }),
    json: Flags.boolean({description: 'print one JSON line'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(DumpCommand);
    const dump = (await requestJson(`${flags.admin}/dump`, {
      key: flags.key,
    })) as Record<string, unknown>;
    const shownPart = flags.part === undefined ? dump : dump[flags.part];
    if (flags.json) {
      printJson(shownPart ?? null);
      return;
    }
    printLine(JSON.stringify(shownPart ?? null, null, 2));
  }
}
