import {Command, Flags} from '@oclif/core';
import {startServiceStandin} from '@skylarkfield/standins';
import {runUntilStopped} from '../longRunning.js';
import {registerOrStop, standinFlags} from '../standinFlags.js';

export class StandinServiceCommand extends Command {
  static override description =
    'Run a stand-in for a plain service that counts each run. For trials and tests only.';
  static override examples = [
    'skylarkfield standin service --id b1 --service booking --register http://127.0.0.1:7000',
  ];
  static override flags = {
    ...standinFlags,
    'work-ms': Flags.integer({
      default: 0,
      min: 0,
      description: 'processing time of each request, in milliseconds',
    }),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(StandinServiceCommand);
    const standin = await startServiceStandin({
      host: flags.host,
      port: flags.port,
      service: flags.service,
      version: flags.version,
      workMs: flags['work-ms'],
    });
    await registerOrStop(standin, {
      platformUrl: flags.register,
      type: 'plain',
      url: standin.url,
      flags,
    });
    await runUntilStopped(standin, {url: standin.url});
  }
}
