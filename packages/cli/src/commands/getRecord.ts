import {Args, Command, Flags} from '@oclif/core';
import {ServingError} from '@skylarkfield/base';
import {printJson, printTable} from '../output.js';
import {platformFlag, recordKinds, withStore} from '../recordStore.js';

export class GetRecordCommand extends Command {
  static override description = 'Show one record, or all records of a kind.';
  static override examples = [
    'skylarkfield record get service --platform http://127.0.0.1:7000',
    'skylarkfield record get service booking --json',
  ];
  static override args = {
    kind: Args.string({
      required: true,
      options: [...recordKinds],
      description: 'kind of record',
    }),
    name: Args.string({
      description: 'name of the record; all records of the kind if absent',
    }),
  };
  static override flags = {
    platform: platformFlag,
    json: Flags.boolean({description: 'print one JSON line per record'}),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(GetRecordCommand);
    const listing = await withStore(flags.platform, store =>
      store.list(args.kind),
    );
    const objects = listing.objects.filter(
      object => args.name === undefined || object.name === args.name,
    );
    if (args.name !== undefined && objects.length === 0) {
      throw new ServingError('not-found', `no ${args.kind} named ${args.name}`);
    }
    if (flags.json) {
      objects.forEach(printJson);
      return;
    }
    printTable(
      ['name', 'version', 'record'],
      objects.map(object => [
        object.name,
        String(object.version),
        JSON.stringify(object.value),
      ]),
    );
  }
}
