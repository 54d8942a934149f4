import {Command, Flags} from '@oclif/core';
import type {LookupAnswer} from '@skylarkfield/members';
import {callerFlags} from '../callerFlags.js';
import {callForJson} from '../jsonInput.js';
import {printJson, printTable} from '../output.js';

/** Asks an entry which entries to use. */
export class LookupCommand extends Command {
  static override description =
    'Ask any entry which entries to use, best first.';
  static override examples = [
    'skylarkfield lookup --entry http://127.0.0.1:8001 --key CUSTOMER-KEY',
    'skylarkfield lookup --entry http://127.0.0.1:8001 --affinity session-17 --json',
  ];
  static override flags = {
    ...callerFlags,
    affinity: Flags.string({description: 'session or prefix to keep together'}),
    'failure-domain': Flags.string({
      description: "the caller's failure domain",
    }),
    json: Flags.boolean({description: 'one line of JSON'}),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(LookupCommand);
    const url = new URL('/v1/entries', flags.entry);
    if (flags.affinity !== undefined) {
      url.searchParams.set('affinity', flags.affinity);
    }
    if (flags['failure-domain'] !== undefined) {
      url.searchParams.set('failure-domain', flags['failure-domain']);
    }
    const answer = (await callForJson(url.href, {
      key: flags.key,
    })) as LookupAnswer;
    if (flags.json) {
      printJson(answer);
      return;
    }
    printTable(
      ['entry', 'failure domain', 'address'],
      answer.entries.map(entry => [entry.id, entry.failureDomain, entry.url]),
    );
  }
}
