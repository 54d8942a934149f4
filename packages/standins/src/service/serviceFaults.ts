/** Faults that can be injected into the plain-service stand-in. */
import * as z from 'zod';

/**
 * A fault and its conditions. Effect of each type on a request:
 * `hang`: not executed, no response; `hang-after`: executed, no response;
 * `slow`: executed after a delay; `fail`: not executed, error status;
 * `close-before`: not executed, connection closed;
 * `close-after`: executed, connection closed without a response.
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
  /** Path of the affected requests; all paths if absent. */
  route: z.string().optional(),
  /** Affected version of the service; all versions if absent. */
  version: z.string().optional(),
  /** Maximum number of affected requests; unlimited when absent. */
  count: z.number().int().positive().optional(),
  /** Number of matching requests that are served before any is affected. */
  afterRequests: z.number().int().nonnegative().default(0),
  /** Active only while more than this many requests are running. */
  aboveRunning: z.number().int().nonnegative().optional(),
  /** Fraction of the matching requests that are affected. */
  share: z.number().min(0).max(1).default(1),
  /** Processing time that `slow` adds to a request. */
  delayMs: z.number().nonnegative().default(1_000),
  /** HTTP status that `fail` responds with. */
  status: z.number().int().default(500),
});

export type ServiceFault = z.output<typeof serviceFaultSchema>;
export type ServiceFaultInput = z.input<typeof serviceFaultSchema>;

export interface ServiceFaults {
  add(fault: ServiceFaultInput): void;
  clear(): void;
  /**
   * Returns the fault that affects a request, or undefined. Counts the request
   * towards the limits of the faults, so each request must be passed only once.
   */
  selectFault(path: string, running: number): ServiceFault | undefined;
  list(): readonly ServiceFault[];
}

interface InjectedFault {
  readonly fault: ServiceFault;
  /** Number of matching requests served so far because of `afterRequests`. */
  unaffectedRequests: number;
  /** Number of requests affected so far. */
  affectedRequests: number;
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
  let injectedFaults: InjectedFault[] = [];

  /** Decides whether a fault affects a request; counts skipped requests. */
  function shouldApply(
    injectedFault: InjectedFault,
    path: string,
    running: number,
  ): boolean {
    const {fault} = injectedFault;
    if (fault.route !== undefined && fault.route !== path) {
      return false;
    }
    if (injectedFault.unaffectedRequests < fault.afterRequests) {
      injectedFault.unaffectedRequests += 1;
      return false;
    }
    if (fault.aboveRunning !== undefined && running <= fault.aboveRunning) {
      return false;
    }
    if (
      fault.count !== undefined &&
      injectedFault.affectedRequests >= fault.count
    ) {
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
      injectedFaults.push({fault, unaffectedRequests: 0, affectedRequests: 0});
    },
    clear() {
      injectedFaults = [];
    },
    selectFault(path, running) {
      const matchingFault = injectedFaults.find(injectedFault =>
        shouldApply(injectedFault, path, running),
      );
      if (matchingFault === undefined) {
        return undefined;
      }
      matchingFault.affectedRequests += 1;
      return matchingFault.fault;
    },
    list: () => injectedFaults.map(injectedFault => injectedFault.fault),
  };
}
