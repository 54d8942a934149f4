import {Command, Flags} from '@oclif/core';
import type {Decision} from '@skylarkfield/base';
import {adminFlags} from '../adminFlags.js';
import {requestJson} from '../input.js';
import {printJson, printTable} from '../output.js';

export class DecisionsCommand extends Command {
  static override description =
    'Show recent decisions of an entry with their reasons and figures.';
  static override examples = [
    'skylarkfield decisions --admin http://127.0.0.1:9001 --by moves',
  ];
  static override flags = {
    ...adminFlags,
    by: Flags.string({description: 'show only decisions of this package'}),
    json: Flags.boolean({description: 'print one JSON line per decision'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(DecisionsCommand);
    const decisions = (await requestJson(`${flags.admin}/decisions`, {
      key: flags.key,
    })) as Decision[];
    const shownDecisions = decisions.filter(
      decision => flags.by === undefined || decision.by === flags.by,
    );
    if (flags.json) {
      shownDecisions.forEach(printJson);
      return;
    }
    printTable(
      ['at', 'by', 'subject', 'what', 'why'],
      shownDecisions.map(decision => [
        new Date(decision.at).toISOString(),
        decision.by,
        decision.subject,
        decision.what,
        decision.why,
      ]),
    );
  }
}
