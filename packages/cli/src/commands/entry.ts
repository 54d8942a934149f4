import {Command, Flags} from '@oclif/core';
import {containFailures} from '@skylarkfield/base';
import {readEntrySettings, startEntry} from '@skylarkfield/entry';
import {runUntilStopped} from '../longRunning.js';

export class EntryCommand extends Command {
  static override description =
    'Run an entry. Prints one JSON line with its addresses once it listens; logs go to standard error. SIGTERM stops it gracefully.';
  static override examples = ['skylarkfield entry --settings entry-a1.json'];
  static override flags = {
    settings: Flags.string({required: true, description: 'settings file'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(EntryCommand);
    const entry = await startEntry(
      readEntrySettings(flags.settings),
      containFailures,
    );
    await runUntilStopped(entry, entry.addresses);
  }
}
