import {Command} from '@oclif/core';
import {startEngineStandin} from '@skylarkfield/standins';
import {runUntilStopped} from '../longRunning.js';
import {registerOrStop, standinFlags} from '../standinFlags.js';

export class StandinEngineCommand extends Command {
  static override description =
    'Run a stand-in for a model engine. For trials and tests only.';
  static override examples = [
    'skylarkfield standin engine --id r1 --service stain-match --register http://127.0.0.1:7000',
  ];
  static override flags = standinFlags;

  async run(): Promise<void> {
    const {flags} = await this.parse(StandinEngineCommand);
    const standin = await startEngineStandin({
      host: flags.host,
      port: flags.port,
      service: flags.service,
      version: flags.version,
      checksFencing: flags['checks-fencing'],
    });
    await registerOrStop(standin, {
      platformUrl: flags.register,
      type: 'model',
      url: standin.url,
      flags,
    });
    await runUntilStopped(standin, {url: standin.url});
  }
}
