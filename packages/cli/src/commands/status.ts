import {Command, Flags} from '@oclif/core';
import {printJson, printTable} from '../output.js';
import {platformFlag, withStore} from '../recordStore.js';

/** Kinds of objects by which the system reports. */
const REPORT_KINDS = ['status', 'move-state', 'member', 'lease'];

/** Shows what the system reports as done or undone. */
export class StatusCommand extends Command {
  static override description =
    'Show what the system reports: records accepted, refused or in force, moves, entries, leases.';
  static override examples = [
    'skylarkfield status --platform http://127.0.0.1:7000',
    'skylarkfield status --kind status --json',
  ];
  static override flags = {
    platform: platformFlag,
    kind: Flags.string({
      options: REPORT_KINDS,
      description: 'only this kind of report',
    }),
    json: Flags.boolean({description: 'one JSON line per report'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(StatusCommand);
    const kinds = flags.kind === undefined ? REPORT_KINDS : [flags.kind];
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
