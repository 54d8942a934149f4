import {Command, Flags} from '@oclif/core';
import {adminFlags} from '../adminFlags.js';
import {callForJson} from '../jsonInput.js';
import {printJson, printLine} from '../output.js';

/** Shows the state of one process. */
export class DumpCommand extends Command {
  static override description =
    'Show the state of every machine, queue and view of an entry.';
  static override examples = [
    'skylarkfield dump --admin http://127.0.0.1:9001 --key ADMIN-KEY',
    'skylarkfield dump --admin http://127.0.0.1:9001 --part routing --json',
  ];
  static override flags = {
    ...adminFlags,
    part: Flags.string({description: 'only this part of the state'}),
    json: Flags.boolean({description: 'one line of JSON'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(DumpCommand);
    const dump = (await callForJson(`${flags.admin}/dump`, {
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
