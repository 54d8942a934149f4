/**
 * Withholds failures that the paths of this entry may have caused from those
 * who judge endpoints by them: an entry that is cut off would otherwise roll
 * back versions and order endpoints for all entries.
 */
import type {OutcomeMeter} from '@skylarkfield/capacity';
import type {EndpointReach} from '@skylarkfield/routing';
import type {RolloutSample} from '../rollouts/rolloutController.js';

type Reach = Pick<EndpointReach, 'whenDecided'>;

/**
 * Number of probes in a row that an endpoint which stood still leaves without an
 * answer before that counts as a failure. The first one may have been sent for
 * another request, long before the endpoint went on.
 */
const MAX_UNANSWERED_PROBES = 2;

/**
 * Returns a meter that records a late request only once it is known that the
 * paths of this entry were not at fault.
 *
 * @example
 * const outcomeMeter = withholdLateness(reach, engineEstimates.outcomes);
 */
export function withholdLateness(
  reach: Reach,
  meter: Pick<OutcomeMeter, 'record'>,
): Pick<OutcomeMeter, 'record'> {
  return {
    record(service, isLate) {
      if (!isLate) {
        meter.record(service, false);
        return;
      }
      reach.whenDecided(service, isEvidence => {
        if (isEvidence) {
          meter.record(service, true);
        }
      });
    },
  };
}

/**
 * Returns a function that records a failed sample of a version only once it is
 * known that the paths of this entry were not at fault, and drops it if its
 * endpoints stood still and respond by now.
 *
 * @example
 * const record = withholdFailures(reach, rolloutController.recordSample);
 */
export function withholdFailures(
  reach: Reach & Pick<EndpointReach, 'isResponding'>,
  record: (sample: RolloutSample) => void,
): (sample: RolloutSample) => void {
  async function areResponding(
    service: string,
    endpoints: readonly string[],
  ): Promise<boolean> {
    const answers = await Promise.all(
      endpoints.map(endpoint => reach.isResponding(service, endpoint)),
    );
    return answers.every(Boolean);
  }

  async function recordIfSilent(
    sample: RolloutSample,
    endpoints: readonly string[],
  ): Promise<void> {
    for (let count = 0; count < MAX_UNANSWERED_PROBES; count++) {
      if (await areResponding(sample.service, endpoints)) {
        return;
      }
    }
    record(sample);
  }

  return sample => {
    if (!sample.isError) {
      record(sample);
      return;
    }
    reach.whenDecided(sample.service, isEvidence => {
      if (!isEvidence) {
        return;
      }
      if (sample.stillEndpoints === undefined) {
        record(sample);
        return;
      }
      void recordIfSilent(sample, sample.stillEndpoints);
    });
  };
}
