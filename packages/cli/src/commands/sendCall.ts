import {Args, Command, Flags} from '@oclif/core';
import {callerFlags} from '../callerFlags.js';
import {sendHttpRequest, toResponseError} from '../input.js';
import {printJson, printLine} from '../output.js';

export class SendCallCommand extends Command {
  static override description = 'Call a plain service through an entry.';
  static override examples = [
    'skylarkfield send call /availability --entry http://127.0.0.1:8001 --service booking --key CUSTOMER-KEY',
    'skylarkfield send call /bookings --method POST --idempotency-key shift-17 --data \'{"shift":17}\' --entry http://127.0.0.1:8001 --service booking',
  ];
  static override args = {
    path: Args.string({
      required: true,
      description: "path below the service's root",
    }),
  };
  static override flags = {
    ...callerFlags,
    service: Flags.string({
      required: true,
      description: 'name of the plain service',
    }),
    method: Flags.string({default: 'GET', description: 'HTTP method'}),
    data: Flags.string({description: 'request body'}),
    'idempotency-key': Flags.string({
      description: 'key that identifies retries of a non-idempotent call',
    }),
    json: Flags.boolean({
      description: 'print status, headers and body as JSON',
    }),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(SendCallCommand);
    const response = await sendHttpRequest(
      new URL(`/services/${flags.service}${args.path}`, flags.entry).href,
      {
        key: flags.key,
        method: flags.method,
        body: flags.data,
        headers: {
          'content-type': 'application/json',
          ...(flags['idempotency-key'] === undefined
            ? {}
            : {'idempotency-key': flags['idempotency-key']}),
        },
      },
    );
    if (flags.json) {
      printJson(response);
    } else if (response.status < 400) {
      printLine(response.text);
    }
    if (response.status >= 400) {
      throw toResponseError(response);
    }
  }
}
