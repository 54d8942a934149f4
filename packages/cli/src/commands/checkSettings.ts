import {Args, Command, Flags} from '@oclif/core';
import {validateEntrySettings} from '@skylarkfield/entry';
import {readJsonFile} from '../input.js';
import {printJson, printLine} from '../output.js';

export class CheckSettingsCommand extends Command {
  static override description =
    "Check an entry's settings without starting the entry.";
  static override examples = [
    'skylarkfield check settings entry-a1.json',
    'skylarkfield check settings entry-a1.json --json',
  ];
  static override args = {
    file: Args.string({
      required: true,
      description: 'settings file, - for standard input',
    }),
  };
  static override flags = {
    json: Flags.boolean({
      description: 'print the settings with their defaults as JSON',
    }),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(CheckSettingsCommand);
    const settings = validateEntrySettings(
      readJsonFile(args.file, 'bad-settings'),
    );
    if (flags.json) {
      printJson(settings);
      return;
    }
    printLine(`${args.file}: valid settings of entry ${settings.id}`);
  }
}
