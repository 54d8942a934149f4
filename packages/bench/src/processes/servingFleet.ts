/** Default trial fleet: three entries, two model and two plain endpoints. */
import {
  putTrialRecords,
  trialEngineEndpoint,
  trialServiceEndpoint,
} from './trialCalls.js';
import {startTrialFleet, type TrialFleet} from './trialFleet.js';
import {waitUntilServing} from './waitUntilServing.js';

export interface ServingFleet {
  readonly fleet: TrialFleet;
  /** Caller URLs of the entries. */
  readonly urls: readonly string[];
}

/**
 * Starts the fleet and waits until every entry serves the model and the plain
 * service.
 *
 * @example
 * const {fleet, urls} = await startServingFleet({lingerMs: 0});
 */
export async function startServingFleet(
  settings: Readonly<Record<string, unknown>> = {},
): Promise<ServingFleet> {
  const fleet = await startTrialFleet({
    entryDomains: ['a', 'b', 'c'],
    endpoints: [
      trialEngineEndpoint('m1', 'a'),
      trialEngineEndpoint('m2', 'b'),
      trialServiceEndpoint('b1', 'a'),
      trialServiceEndpoint('b2', 'b'),
    ],
    settings: {log: {level: 'warn'}, ...settings},
  });
  try {
    await putTrialRecords(fleet);
    await waitUntilServing(fleet, ['match', 'booking']);
  } catch (error) {
    await fleet.dispose();
    throw error;
  }
  const urls = fleet.entries.map(entry => entry.ready['callers'] ?? '');
  return {fleet, urls};
}
