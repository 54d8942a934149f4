/** Simulated service with slots, a queue and faults. */
import type {Clock, Random} from '@skylarkfield/base';

export type ServiceFault = 'none' | 'hung' | 'slow' | 'failing';

export interface ReplayService {
  /**
   * Starts or queues a job; calls `onDone` once unless the job is cancelled.
   */
  run(cost: number, onDone: (isOk: boolean) => void): {cancel(): void};
  setFault(fault: ServiceFault): void;
  setSlots(slots: number): void;
  slots(): number;
  /** Returns the number of running and queued jobs. */
  busyJobs(): number;
  /** Returns the milliseconds of work, in total and for cancelled jobs. */
  work(): {readonly doneMs: number; readonly wastedMs: number};
}

interface Job {
  readonly cost: number;
  readonly onDone: (isOk: boolean) => void;
  isCancelled: boolean;
}

/** Factor on service times while the service is `slow`. */
const SLOW_FACTOR = 10;
/** Service time of a job while the service is `failing`. */
const FAILURE_MS = 3;

/** Standard deviation of the logarithm of service times. */
const SERVICE_TIME_SIGMA = 0.4;

/**
 * Creates a service; `meanMs` is the mean service time of a job of cost 1.
 *
 * @example
 * const service = createReplayService(clock, random, 28, 100);
 */
export function createReplayService(
  clock: Clock,
  random: Random,
  initialSlots: number,
  meanMs: number,
): ReplayService {
  const waitingJobs: Job[] = [];
  const hungJobs: Job[] = [];
  let slotCount = initialSlots;
  let runningCount = 0;
  let fault: ServiceFault = 'none';
  let doneMs = 0;
  let wastedMs = 0;

  function drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
    return radius * Math.cos(2 * Math.PI * random.next());
  }

  function sampleServiceTimeMs(cost: number): number {
    if (fault === 'failing') {
      return FAILURE_MS;
    }
    const noiseFactor = Math.exp(
      SERVICE_TIME_SIGMA * drawNormal() -
        (SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA) / 2,
    );
    return meanMs * cost * noiseFactor * (fault === 'slow' ? SLOW_FACTOR : 1);
  }

  function startWaitingJobs() {
    while (runningCount < slotCount && waitingJobs.length > 0) {
      const job = waitingJobs.shift() as Job;
      if (!job.isCancelled) {
        startJob(job);
      }
    }
  }

  function startJob(job: Job) {
    runningCount += 1;
    if (fault === 'hung') {
      hungJobs.push(job);
      return;
    }
    const isOk = fault !== 'failing';
    const serviceTimeMs = sampleServiceTimeMs(job.cost);
    clock.after(serviceTimeMs, () => {
      runningCount -= 1;
      doneMs += serviceTimeMs;
      if (job.isCancelled) {
        wastedMs += serviceTimeMs;
      } else {
        job.onDone(isOk);
      }
      startWaitingJobs();
    });
  }

  return {
    run(cost, onDone) {
      const job: Job = {cost, onDone, isCancelled: false};
      waitingJobs.push(job);
      startWaitingJobs();
      return {cancel: () => (job.isCancelled = true)};
    },
    setFault(newFault) {
      fault = newFault;
      if (newFault === 'hung') {
        return;
      }
      for (const job of hungJobs.splice(0)) {
        runningCount -= 1;
        if (!job.isCancelled) {
          job.onDone(false);
        }
      }
      startWaitingJobs();
    },
    setSlots(newSlotCount) {
      slotCount = newSlotCount;
      startWaitingJobs();
    },
    slots: () => slotCount,
    busyJobs: () =>
      runningCount + waitingJobs.filter(job => !job.isCancelled).length,
    work: () => ({doneMs, wastedMs}),
  };
}
