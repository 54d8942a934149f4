/** Order of the entries that may schedule a service. */
import {rendezvousOrder} from '@skylarkfield/base';

/** An entry that may schedule. */
export interface SchedulerCandidate {
  readonly id: string;
  /** Available processor cores. */
  readonly cores: number;
}

/**
 * Minimum cores of an entry that schedules: the messages of all entries would
 * take the time that a smaller one needs for its own callers.
 */
const MIN_CORES = 0.5;

/**
 * Ranks entries for the scheduling of a service; empty if none has enough cores.
 * Those with the most cores come first, since the scheduler handles the requests
 * of all entries; among them the order differs between services.
 *
 * @example
 * const [scheduler, standIn] = rankSchedulers('booking', candidates);
 */
export function rankSchedulers(
  service: string,
  candidates: readonly SchedulerCandidate[],
): readonly string[] {
  const coreCounts = [...new Set(candidates.map(({cores}) => cores))].filter(
    cores => cores >= MIN_CORES,
  );
  return coreCounts
    .sort((a, b) => b - a)
    .flatMap(coreCount =>
      rendezvousOrder(
        `scheduler/${service}`,
        candidates.filter(({cores}) => cores === coreCount).map(({id}) => id),
      ),
    );
}
