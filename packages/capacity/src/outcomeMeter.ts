/**
 * Whether a service's callers get what they hope for.
 *
 * Whatever is believed of engines may be wrong, and then nothing but the callers
 * shows it: first events come late, requests are refused or die.
 */
import type {Clock} from '@skylarkfield/base';

/** Requests seen lately, older ones counting for less. */
export interface OutcomeSums {
  readonly count: number;
  readonly late: number;
}

export interface OutcomeMeter {
  note(service: string, isLate: boolean): void;
  sums(): Readonly<Record<string, OutcomeSums>>;
}

/** Half of what was seen this long ago still counts: an endpoint takes as long to start. */
const HALF_LIFE_MS = 2_000;

/**
 * Makes a meter with nothing seen.
 *
 * @example
 * outcomes.note('chat', firstMs > route.goalMs);
 */
export function createOutcomeMeter(clock: Clock): OutcomeMeter {
  const services = new Map<string, OutcomeSums & {readonly at: number}>();

  function aged(service: string): OutcomeSums {
    const {count, late, at} = services.get(service) ?? {
      count: 0,
      late: 0,
      at: clock.now(),
    };
    const factor = 2 ** ((at - clock.now()) / HALF_LIFE_MS);
    return {count: count * factor, late: late * factor};
  }

  return {
    note(service, isLate) {
      const {count, late} = aged(service);
      services.set(service, {
        count: count + 1,
        late: late + (isLate ? 1 : 0),
        at: clock.now(),
      });
    },
    sums: () =>
      Object.fromEntries([...services.keys()].map(name => [name, aged(name)])),
  };
}

/** Fewer requests than this say nothing about a share. */
const LEAST_COUNT = 8;

/**
 * The late part of all requests, 0 while too few were seen.
 *
 * @example
 * const part = latePart([own.chat, ...peers]);
 */
export function latePart(parts: readonly OutcomeSums[]): number {
  const count = parts.reduce((sum, part) => sum + part.count, 0);
  const late = parts.reduce((sum, part) => sum + part.late, 0);
  return count < LEAST_COUNT ? 0 : late / count;
}
