import {Command, Flags} from '@oclif/core';
import {startPlatformStandin} from '@skylarkfield/standins';
import {runUntilStopped} from '../longRunning.js';

/** Runs the stand-in for the platform. */
export class StandinPlatformCommand extends Command {
  static override description =
    'Run a stand-in for the platform: object API, cloud, host list, weight store. For trials and tests only.';
  static override examples = ['skylarkfield standin platform --port 7000'];
  static override flags = {
    host: Flags.string({
      default: '127.0.0.1',
      description: 'address to listen on',
    }),
    port: Flags.integer({
      default: 0,
      min: 0,
      max: 65_535,
      description: 'port to listen on; 0 takes any',
    }),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(StandinPlatformCommand);
    const standin = await startPlatformStandin(flags);
    await runUntilStopped(standin, {url: standin.url});
  }
}
