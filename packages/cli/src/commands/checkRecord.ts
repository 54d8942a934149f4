import {Args, Command, Flags} from '@oclif/core';
import {convertRecord, type RecordKind} from '@skylarkfield/records';
import {readJsonFile} from '../input.js';
import {printJson, printLine} from '../output.js';
import {parseRecordFile} from '../recordStore.js';

export class CheckRecordCommand extends Command {
  static override description = 'Check a record without writing it.';
  static override examples = [
    'skylarkfield check record booking.json',
    'skylarkfield check record booking.json --json',
  ];
  static override args = {
    file: Args.string({
      required: true,
      description: 'record file, - for standard input',
    }),
  };
  static override flags = {
    json: Flags.boolean({description: 'print the validated record as JSON'}),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(CheckRecordCommand);
    const record = parseRecordFile(readJsonFile(args.file, 'bad-record'));
    const acceptedRecord = convertRecord(
      record.kind as RecordKind,
      record.name,
      record.value,
    );
    if (flags.json) {
      printJson(acceptedRecord);
      return;
    }
    printLine(`${args.file}: valid ${record.kind} ${record.name}`);
  }
}
