import {Args, Command} from '@oclif/core';
import {printLine} from '../output.js';
import {platformFlag, recordKinds, withStore} from '../recordStore.js';

export class RemoveRecordCommand extends Command {
  static override description = 'Remove a record.';
  static override examples = [
    'skylarkfield record remove move booking-v2 --platform http://127.0.0.1:7000',
  ];
  static override args = {
    kind: Args.string({
      required: true,
      options: [...recordKinds],
      description: 'kind of record',
    }),
    name: Args.string({required: true, description: 'name of the record'}),
  };
  static override flags = {platform: platformFlag};

  async run(): Promise<void> {
    const {args, flags} = await this.parse(RemoveRecordCommand);
    await withStore(flags.platform, store =>
      store.remove(args.kind, args.name, {type: 'any'}),
    );
    printLine(`${args.kind} ${args.name}: removed`);
  }
}
