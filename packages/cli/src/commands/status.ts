import {Command, Flags} from '@oclif/core';
import {printJson, printTable} from '../output.js';
import {platformFlag, withStore} from '../recordStore.js';

/** Object kinds that entries write to report the status of the system. */
const STATUS_KINDS = ['status', 'move-state', 'member', 'lease'];

export class StatusCommand extends Command {
  static override description =
    'Show the status of records (accepted, refused or in force), moves, entries and leases.';
  static override examples = [
    'skylarkfield status --platform http://127.0.0.1:7000',
    'skylarkfield status --kind status --json',
  ];
  static override flags = {
    platform: platformFlag,
    kind: Flags.string({
      options: STATUS_KINDS,
      description: 'show only this kind of status object',
    }),
    json: Flags.boolean({description: 'print one JSON line per status object'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(StatusCommand);
    const kinds = flags.kind === undefined ? STATUS_KINDS : [flags.kind];
    const objects = await withStore(flags.platform, async store => {
      const listings = await Promise.all(kinds.map(kind => store.list(kind)));
      return listings.flatMap(listing => listing.objects);
    });
    if (flags.json) {
      objects.forEach(printJson);
      return;
    }
    printTable(
      ['kind', 'name', 'report'],
      objects.map(object => [
        object.kind,
        object.name,
        JSON.stringify(object.value),
      ]),
    );
  }
}
