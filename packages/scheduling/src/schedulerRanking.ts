/** Order of the entries that may schedule a service. */
import {rendezvousOrder} from '@skylarkfield/base';

/** An entry that may schedule. */
export interface SchedulerCandidate {
  readonly id: string;
  /** Available processor cores. */
  readonly cores: number;
}

/**
 * Ranks entries for the scheduling of a service. Those with the most cores come
 * first, since the scheduler handles the requests of all entries; among them the
 * order differs between services.
 *
 * @example
 * const [scheduler, standIn] = rankSchedulers('booking', candidates);
 */
export function rankSchedulers(
  service: string,
  candidates: readonly SchedulerCandidate[],
): readonly string[] {
  const coreCounts = [...new Set(candidates.map(({cores}) => cores))];
  return coreCounts
    .sort((a, b) => b - a)
    .flatMap(coreCount =>
      rendezvousOrder(
        `scheduler/${service}`,
        candidates.filter(({cores}) => cores === coreCount).map(({id}) => id),
      ),
    );
}
