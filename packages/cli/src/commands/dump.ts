import {Command, Flags} from '@oclif/core';
import {adminFlags} from '../adminFlags.js';
import {requestJson} from '../input.js';
import {printJson, printLine} from '../output.js';

/** Shows the internal state of an entry. */
export class DumpCommand extends Command {
  static override description =
    'Show the state machines, queues and cached views of an entry.';
  static override examples = [
    'skylarkfield dump --admin http://127.0.0.1:9001 --key ADMIN-KEY',
    'skylarkfield dump --admin http://127.0.0.1:9001 --part routing --json',
  ];
  static override flags = {
    ...adminFlags,
    part: Flags.string({description: 'show only this part of the state'}),
    json: Flags.boolean({description: 'print one JSON line'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(DumpCommand);
    const dump = (await requestJson(`${flags.admin}/dump`, {
      key: flags.key,
    })) as Record<string, unknown>;
    const shown = flags.part === undefined ? dump : dump[flags.part];
    if (flags.json) {
      printJson(shown ?? null);
      return;
    }
    printLine(JSON.stringify(shown ?? null, null, 2));
  }
}
