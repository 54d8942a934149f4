/** Admission gates of a replay: the admission package and plain baselines. */
import {
  createDecisionLog,
  ServingError,
  createSilentLogger,
  type Clock,
  type Random,
} from '@skylarkfield/base';
import {
  createAdmissionController,
  type AdmissionRequest,
  type LimitPolicy,
  type Permit,
} from '@skylarkfield/admission';
import type {Service} from '@skylarkfield/records';

/** Admission gate of one entry. */
export interface Gate {
  admit(
    admissionRequest: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Permit>;
  reportSlots(service: string, slots: number, busy: number): void;
}

export interface GateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly services: readonly Service[];
  readonly entryCount: number;
}

export type GateType = 'shared-fifo' | 'service-fifo' | LimitPolicy;

/**
 * Gate factories by type. `shared-fifo`: one pool and one FIFO queue for all
 * services. `service-fifo`: one pool and one FIFO queue per service. All other
 * types: the admission package with the limit policy of that name.
 */
export const gateFactories: Readonly<
  Record<GateType, (options: GateOptions) => Gate>
> = {
  'shared-fifo': options => {
    const totalConcurrency = sum(
      options.services.map(service => service.concurrency),
    );
    const totalQueueLimit = sum(options.services.map(service => service.queue));
    const pool = createFifoPool(
      Math.max(1, Math.floor(totalConcurrency / options.entryCount)),
      totalQueueLimit,
    );
    return {
      admit: (_admissionRequest, signal) => pool(signal),
      reportSlots() {},
    };
  },
  'service-fifo': options => {
    const pools = new Map(
      options.services.map(service => [
        service.name,
        createFifoPool(
          Math.max(1, Math.floor(service.concurrency / options.entryCount)),
          service.queue,
        ),
      ]),
    );
    return {
      admit: (admissionRequest, signal) =>
        (pools.get(admissionRequest.service) as FifoPool)(signal),
      reportSlots() {},
    };
  },
  fixed: options => createAdmissionGate(options, 'fixed'),
  aimd: options => createAdmissionGate(options, 'aimd'),
  gradient: options => createAdmissionGate(options, 'gradient'),
};

function createAdmissionGate(
  options: GateOptions,
  limitPolicy: LimitPolicy,
): Gate {
  const {clock, random, services, entryCount} = options;
  const decisions = createDecisionLog(clock, createSilentLogger());
  const admission = createAdmissionController({
    clock,
    random,
    decisions,
    limitPolicy,
  });
  admission.setEntryCount(entryCount);
  for (const service of services) {
    admission.setService(service.name, service);
  }
  return {
    admit: (admissionRequest, signal) =>
      admission.admit(admissionRequest, signal),
    reportSlots: (service, slots, busy) =>
      admission.recordReportedSlots(service, slots, busy),
  };
}

type FifoPool = (signal: AbortSignal) => Promise<Permit>;

/** Creates a pool with a bounded FIFO queue that skips cancelled requests. */
function createFifoPool(limit: number, queueLimit: number): FifoPool {
  const waiters: {start: () => void; signal: AbortSignal}[] = [];
  let inFlight = 0;
  function createPermit(): Permit {
    inFlight += 1;
    let isReleased = false;
    return {
      waitedMs: 0,
      release() {
        if (isReleased) {
          return;
        }
        isReleased = true;
        inFlight -= 1;
        while (inFlight < limit && waiters.length > 0) {
          const waiter = waiters.shift();
          if (waiter !== undefined && !waiter.signal.aborted) {
            waiter.start();
          }
        }
      },
    };
  }
  return signal => {
    if (inFlight < limit) {
      return Promise.resolve(createPermit());
    }
    if (waiters.length >= queueLimit) {
      return Promise.reject(
        new ServingError('overloaded', 'FIFO queue is full'),
      );
    }
    return new Promise((resolve, reject) => {
      waiters.push({start: () => resolve(createPermit()), signal});
      signal.addEventListener(
        'abort',
        () =>
          reject(
            new ServingError('cancelled', 'caller cancelled while queued'),
          ),
        {once: true},
      );
    });
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
