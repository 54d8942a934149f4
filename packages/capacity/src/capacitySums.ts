/** Sums of what entries have seen, added up and faded. */
import type {CapacitySums, PaceSums, ServiceSums} from './contracts.js';
import {addSums, scaleSums} from './regression.js';

/**
 * Adds up what several entries have seen.
 *
 * @example
 * const all = addCapacity([model.sums(), ...peers]);
 */
export function addCapacity(parts: readonly CapacitySums[]): CapacitySums {
  const names = new Set(parts.flatMap(part => Object.keys(part)));
  return Object.fromEntries(
    [...names].map(name => [
      name,
      addServices(parts.flatMap(part => part[name] ?? [])),
    ]),
  );
}

/**
 * What was seen, counting for a part of what it did.
 *
 * @example
 * const older = scaleCapacity(sums, 0.5);
 */
export function scaleCapacity(
  sums: CapacitySums,
  factor: number,
): CapacitySums {
  return Object.fromEntries(
    Object.entries(sums).map(([name, {prompts, answers, paces}]) => [
      name,
      {
        prompts: scaleSums(prompts, factor),
        answers: scaleSums(answers, factor),
        paces: Object.fromEntries(
          Object.entries(paces).map(([route, pace]) => [
            route,
            scalePace(pace, factor),
          ]),
        ),
      },
    ]),
  );
}

/**
 * Adds what two entries have seen of one route's answers.
 *
 * @example
 * const all = addPaces(own, theirs);
 */
export function addPaces(a: PaceSums, b: PaceSums): PaceSums {
  return {
    count: a.count + b.count,
    tokens: a.tokens + b.tokens,
    total: a.total + b.total,
    squares: a.squares + b.squares,
  };
}

/**
 * What was seen of a route's answers, counting for a part of what it did.
 *
 * @example
 * const older = scalePace(sums, 0.5);
 */
export function scalePace(pace: PaceSums, factor: number): PaceSums {
  return {
    count: pace.count * factor,
    tokens: pace.tokens * factor,
    total: pace.total * factor,
    squares: pace.squares * factor,
  };
}

function addServices(parts: readonly ServiceSums[]): ServiceSums {
  const paces: Record<string, PaceSums> = {};
  for (const [route, sums] of parts.flatMap(part =>
    Object.entries(part.paces),
  )) {
    const known = paces[route];
    paces[route] = known ? addPaces(known, sums) : sums;
  }
  return {
    prompts: addSums(
      parts.map(({prompts}) => prompts).filter(({count}) => count > 0),
    ),
    answers: addSums(
      parts.map(({answers}) => answers).filter(({count}) => count > 0),
    ),
    paces,
  };
}
