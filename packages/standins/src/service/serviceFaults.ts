/** Faults that a test switches on in the plain-service stand-in. */
import * as z from 'zod';

/**
 * What goes wrong:
 * `hang`: no effect and no answer; `hang-after`: the effect, then no answer;
 * `slow`: the effect after a delay; `fail`: an error status without effect;
 * `close-before`: the connection is cut without effect;
 * `close-after`: the connection is cut after the effect.
 */
export const serviceFault = z.object({
  type: z.enum([
    'hang',
    'hang-after',
    'slow',
    'fail',
    'close-before',
    'close-after',
  ]),
  /** Path the fault is bound to; all when absent. */
  route: z.string().optional(),
  /** Version the fault is bound to; stand-ins of other versions ignore it. */
  version: z.string().optional(),
  /** How many requests it hits; all when absent. */
  count: z.number().int().positive().optional(),
  /** Matching requests that pass before it begins. */
  afterRequests: z.number().int().nonnegative().default(0),
  /** Hits only while more than this many requests are being worked on. */
  aboveRunning: z.number().int().nonnegative().optional(),
  /** Fraction of the matching requests that it hits. */
  share: z.number().min(0).max(1).default(1),
  delayMs: z.number().nonnegative().default(1_000),
  status: z.number().int().default(500),
});

export type ServiceFault = z.output<typeof serviceFault>;
export type ServiceFaultSwitch = z.input<typeof serviceFault>;

export interface ServiceFaults {
  add(fault: ServiceFaultSwitch): void;
  clear(): void;
  /** The fault that hits a request now, if any. */
  next(path: string, running: number): ServiceFault | undefined;
  list(): readonly ServiceFault[];
}

interface ArmedFault {
  readonly fault: ServiceFault;
  passed: number;
  hits: number;
}

/**
 * Makes the set of faults of one stand-in.
 *
 * @example
 * const faults = createServiceFaults('v2', () => 0.5);
 * faults.add({type: 'fail', route: '/bookings', count: 3});
 */
export function createServiceFaults(
  version: string,
  nextRandom: () => number,
): ServiceFaults {
  let armed: ArmedFault[] = [];

  function isHit(entry: ArmedFault, path: string, running: number): boolean {
    const {fault} = entry;
    if (fault.route !== undefined && fault.route !== path) {
      return false;
    }
    if (entry.passed < fault.afterRequests) {
      entry.passed += 1;
      return false;
    }
    if (fault.aboveRunning !== undefined && running <= fault.aboveRunning) {
      return false;
    }
    if (fault.count !== undefined && entry.hits >= fault.count) {
      return false;
    }
    return nextRandom() < fault.share;
  }

  return {
    add(input) {
      const fault = serviceFault.parse(input);
      if (fault.version !== undefined && fault.version !== version) {
        return;
      }
      armed.push({fault, passed: 0, hits: 0});
    },
    clear() {
      armed = [];
    },
    next(path, running) {
      const hit = armed.find(entry => isHit(entry, path, running));
      if (hit === undefined) {
        return undefined;
      }
      hit.hits += 1;
      return hit.fault;
    },
    list: () => armed.map(entry => entry.fault),
  };
}
