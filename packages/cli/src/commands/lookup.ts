import {Command, Flags} from '@oclif/core';
import type {LookupResult} from '@skylarkfield/members';
import {callerFlags} from '../callerFlags.js';
import {requestJson} from '../input.js';
import {printJson, printTable} from '../output.js';

export class LookupCommand extends Command {
  static override description = 'Look up which entries to call, best first.';
  static override examples = [
    'skylarkfield lookup --entry http://127.0.0.1:8001 --key CUSTOMER-KEY',
    'skylarkfield lookup --entry http://127.0.0.1:8001 --affinity session-17 --json',
  ];
  static override flags = {
    ...callerFlags,
    affinity: Flags.string({
      description: 'session or prefix whose requests go to the same entry',
    }),
    'failure-domain': Flags.string({
      description: "the caller's failure domain",
    }),
    json: Flags.boolean({description: 'print one JSON line'}),
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
    const lookupResult = (await requestJson(url.href, {
      key: flags.key,
    })) as LookupResult;
    if (flags.json) {
      printJson(lookupResult);
      return;
    }
    printTable(
      ['entry', 'failure domain', 'address'],
      lookupResult.entries.map(entry => [
        entry.id,
        entry.failureDomain,
        entry.url,
      ]),
    );
  }
}
