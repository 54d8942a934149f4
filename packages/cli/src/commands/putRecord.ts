import {Args, Command, Flags} from '@oclif/core';
import type {WriteCondition} from '@skylarkfield/providers';
import {readJsonFile} from '../input.js';
import {printJson, printLine} from '../output.js';
import {parseRecordFile, platformFlag, withStore} from '../recordStore.js';

/** Writes a record, which the system then accepts or rejects. */
export class PutRecordCommand extends Command {
  static override description =
    'Write a record. The status command shows whether it is accepted.';
  static override examples = [
    'skylarkfield record put booking.json --platform http://127.0.0.1:7000',
    'skylarkfield record put booking.json --if-version 42',
  ];
  static override args = {
    file: Args.string({
      required: true,
      description:
        'record file with kind, name and schema, - for standard input',
    }),
  };
  static override flags = {
    platform: platformFlag,
    'if-version': Flags.integer({
      description:
        'write only if the record has this version; 0: only if it does not exist',
    }),
    json: Flags.boolean({description: 'print one JSON line'}),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(PutRecordCommand);
    const record = parseRecordFile(readJsonFile(args.file, 'bad-record'));
    const storedObject = await withStore(flags.platform, store =>
      store.put(
        record.kind,
        record.name,
        record.value,
        toWriteCondition(flags['if-version']),
      ),
    );
    const {kind, name, version} = storedObject;
    if (flags.json) {
      printJson({kind, name, version});
      return;
    }
    printLine(`${kind} ${name}: written as version ${version}`);
  }
}

function toWriteCondition(version: number | undefined): WriteCondition {
  if (version === undefined) {
    return {type: 'any'};
  }
  return version === 0 ? {type: 'absent'} : {type: 'version', version};
}
