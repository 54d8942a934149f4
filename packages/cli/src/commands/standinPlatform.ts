import {Command} from '@oclif/core';
import {startPlatformStandin} from '@skylarkfield/standins';
import {runUntilStopped} from '../longRunning.js';
import {listenFlags} from '../standinFlags.js';

export class StandinPlatformCommand extends Command {
  static override description =
    'Run a stand-in for the platform: object API, cloud, host list, weight store. For trials and tests only.';
  static override examples = ['skylarkfield standin platform --port 7000'];
  static override flags = listenFlags;

  async run(): Promise<void> {
    const {flags} = await this.parse(StandinPlatformCommand);
    const standin = await startPlatformStandin(flags);
    await runUntilStopped(standin, {url: standin.url});
  }
}
