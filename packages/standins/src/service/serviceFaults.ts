/** Faults that can be injected into the plain-service stand-in. */
import * as z from 'zod';

/**
 * A fault and its conditions. Types:
 * `hang`: no effect, no response; `hang-after`: the effect, then no response;
 * `slow`: the effect after a delay; `fail`: an error status without effect;
 * `close-before`: the connection is closed without effect;
 * `close-after`: the connection is closed after the effect.
 */
export const serviceFaultSchema = z.object({
  type: z.enum([
    'hang',
    'hang-after',
    'slow',
    'fail',
    'close-before',
    'close-after',
  ]),
  /** Affected path; all paths when absent. */
  route: z.string().optional(),
  /** Affected version; stand-ins of other versions ignore the fault. */
  version: z.string().optional(),
  /** Maximum number of affected requests; unlimited when absent. */
  count: z.number().int().positive().optional(),
  /** Number of matching requests that are served before the fault starts. */
  afterRequests: z.number().int().nonnegative().default(0),
  /** Active only while more than this many requests are running. */
  aboveRunning: z.number().int().nonnegative().optional(),
  /** Fraction of the matching requests that are affected. */
  share: z.number().min(0).max(1).default(1),
  delayMs: z.number().nonnegative().default(1_000),
  status: z.number().int().default(500),
});

export type ServiceFault = z.output<typeof serviceFaultSchema>;
export type ServiceFaultInput = z.input<typeof serviceFaultSchema>;

export interface ServiceFaults {
  add(fault: ServiceFaultInput): void;
  clear(): void;
  /** Returns the fault to apply to a request, if any, and counts its use. */
  take(path: string, running: number): ServiceFault | undefined;
  list(): readonly ServiceFault[];
}

interface InjectedFault {
  readonly fault: ServiceFault;
  /** Matching requests served before the fault started. */
  passed: number;
  /** Requests affected so far. */
  hits: number;
}

/**
 * Creates the set of injected faults of one stand-in.
 *
 * @example
 * const faults = createServiceFaults('v2', () => 0.5);
 * faults.add({type: 'fail', route: '/bookings', count: 3});
 */
export function createServiceFaults(
  version: string,
  nextRandom: () => number,
): ServiceFaults {
  let injected: InjectedFault[] = [];

  function shouldApply(
    injectedFault: InjectedFault,
    path: string,
    running: number,
  ): boolean {
    const {fault} = injectedFault;
    if (fault.route !== undefined && fault.route !== path) {
      return false;
    }
    if (injectedFault.passed < fault.afterRequests) {
      injectedFault.passed += 1;
      return false;
    }
    if (fault.aboveRunning !== undefined && running <= fault.aboveRunning) {
      return false;
    }
    if (fault.count !== undefined && injectedFault.hits >= fault.count) {
      return false;
    }
    return nextRandom() < fault.share;
  }

  return {
    add(input) {
      const fault = serviceFaultSchema.parse(input);
      if (fault.version !== undefined && fault.version !== version) {
        return;
      }
      injected.push({fault, passed: 0, hits: 0});
    },
    clear() {
      injected = [];
    },
    take(path, running) {
      const match = injected.find(injectedFault =>
        shouldApply(injectedFault, path, running),
      );
      if (match === undefined) {
        return undefined;
      }
      match.hits += 1;
      return match.fault;
    },
    list: () => injected.map(injectedFault => injectedFault.fault),
  };
}
