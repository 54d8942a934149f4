/** Admission gates of a replay: the admission package and plain baselines. */
import {
  decisionLog,
  ServingError,
  silentLogger,
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
 * `shared-fifo`: one pool and one queue for all services.
 * `service-fifo`: one pool and one FIFO queue per service.
 * Others: the admission package with the limit policy of that name.
 */
export const gateFactories: Readonly<
  Record<GateType, (options: GateOptions) => Gate>
> = {
  'shared-fifo': options => {
    const total = sum(options.services.map(service => service.concurrency));
    const queue = sum(options.services.map(service => service.queue));
    const pool = createFifoPool(
      Math.max(1, Math.floor(total / options.entryCount)),
      queue,
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
  fixed: options => admissionGate(options, 'fixed'),
  aimd: options => admissionGate(options, 'aimd'),
  gradient: options => admissionGate(options, 'gradient'),
};

function admissionGate(options: GateOptions, limitPolicy: LimitPolicy): Gate {
  const {clock, random, services, entryCount} = options;
  const decisions = decisionLog(clock, silentLogger());
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
      admission.setReportedSlots(service, slots, busy),
  };
}

type FifoPool = (signal: AbortSignal) => Promise<Permit>;

/** Creates a limit with a bounded FIFO queue that skips cancelled waiters. */
function createFifoPool(limit: number, queueLimit: number): FifoPool {
  const waiting: {start: () => void; signal: AbortSignal}[] = [];
  let inFlight = 0;
  function permit(): Permit {
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
        while (inFlight < limit && waiting.length > 0) {
          const next = waiting.shift();
          if (next !== undefined && !next.signal.aborted) {
            next.start();
          }
        }
      },
    };
  }
  return signal => {
    if (inFlight < limit) {
      return Promise.resolve(permit());
    }
    if (waiting.length >= queueLimit) {
      return Promise.reject(new ServingError('overloaded', 'queue full'));
    }
    return new Promise((resolve, reject) => {
      waiting.push({start: () => resolve(permit()), signal});
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
