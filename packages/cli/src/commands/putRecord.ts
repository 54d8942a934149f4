import {Args, Command, Flags} from '@oclif/core';
import type {WriteCondition} from '@skylarkfield/providers';
import {readJsonFile} from '../jsonInput.js';
import {printJson, printLine} from '../output.js';
import {platformFlag, splitRecordFile, withStore} from '../recordStore.js';

/** Writes a record for the system to accept or refuse. */
export class PutRecordCommand extends Command {
  static override description =
    'Write a record. Whether it is accepted shows in its status.';
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
        'write only if the record still has this version; 0: only if there is none',
    }),
    json: Flags.boolean({description: 'one line of JSON'}),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(PutRecordCommand);
    const record = splitRecordFile(readJsonFile(args.file, 'bad-record'));
    const stored = await withStore(flags.platform, store =>
      store.put(
        record.kind,
        record.name,
        record.value,
        writeCondition(flags['if-version']),
      ),
    );
    const {kind, name, version} = stored;
    if (flags.json) {
      printJson({kind, name, version});
      return;
    }
    printLine(`${kind} ${name}: written as version ${version}`);
  }
}

function writeCondition(version: number | undefined): WriteCondition {
  if (version === undefined) {
    return {type: 'any'};
  }
  return version === 0 ? {type: 'absent'} : {type: 'version', version};
}
