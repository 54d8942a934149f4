/** Replicas on a virtual clock, which stream events and can stand still. */
import {ServingError, type Clock, type Random} from '@skylarkfield/base';
import {createBodyMemory} from '../attempts/bodyBuffer.js';
import type {UpstreamListener, Upstreams} from '../attempts/upstream.js';

export interface VirtualReplicas {
  /** Connections of an entry to all replicas. */
  readonly upstreams: Upstreams;
  /** Number of requests that a replica has run. */
  runsOf(address: string): number;
  /** Returns whether a replica answers a probe within a time, in milliseconds. */
  probe(address: string, timeoutMs: number): Promise<boolean>;
  /**
   * Stops replicas: what falls due is done when they are resumed, and connections
   * stay open.
   */
  pause(addresses: readonly string[]): void;
  resume(addresses: readonly string[]): void;
  /** Multiplies the time between the events of replicas. */
  setSlowness(addresses: readonly string[], factor: number): void;
  /** Breaks off a fraction of the streams of replicas before their first event. */
  setBreakRate(addresses: readonly string[], rate: number): void;
}

/** Time between two events of a stream, in milliseconds, and its variation. */
const EVENT_INTERVAL_MS = 80;
const MAX_JITTER_MS = 20;

const ROUND_TRIP_MS = 1;

/** Name of the request header with the id of the last event. */
export const LAST_EVENT_HEADER = 'last-event';

/** Text of an event of the stream of an attempt. */
export function eventText(attemptId: string, id: number): string {
  return `id: ${id}\ndata: ${attemptId}\n\n`;
}

/**
 * Creates replicas that answer each request, whose path is the attempt id, with a
 * stream of events.
 */
export function createVirtualReplicas(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly eventCount: number;
}): VirtualReplicas {
  const {clock, random, eventCount} = options;
  /** What paused replicas do when they are resumed, by address. */
  const heldSteps = new Map<string, (() => void)[]>();
  const breakRates = new Map<string, number>();
  const slownesses = new Map<string, number>();
  const runs = new Map<string, number>();

  /** Does a step after a delay, or when the replica is resumed. */
  function schedule(address: string, delayMs: number, step: () => void): void {
    clock.after(delayMs, () => {
      const held = heldSteps.get(address);
      if (held === undefined) {
        step();
        return;
      }
      held.push(step);
    });
  }

  function stream(
    address: string,
    attemptId: string,
    lastEventId: number,
    listener: UpstreamListener,
    isAborted: () => boolean,
  ): void {
    const isBroken = random.chance(breakRates.get(address) ?? 0);

    function send(id: number): void {
      if (isAborted()) {
        return;
      }
      if (isBroken) {
        listener.onDidFail(new ServingError('interrupted', 'broken off'));
        return;
      }
      if (id > eventCount) {
        listener.onDidEnd('chunks');
        return;
      }
      listener.onDidReceive(Buffer.from(eventText(attemptId, id)));
      scheduleNext(id + 1);
    }

    function scheduleNext(id: number): void {
      const intervalMs = EVENT_INTERVAL_MS + random.next() * MAX_JITTER_MS;
      const delayMs = intervalMs * (slownesses.get(address) ?? 1);
      schedule(address, id > eventCount ? 0 : delayMs, () => send(id));
    }

    schedule(address, 0, () => {
      if (isAborted()) {
        return;
      }
      runs.set(address, (runs.get(address) ?? 0) + 1);
      listener.onDidRespond(200, {attempt: attemptId}, 'chunks');
      scheduleNext(lastEventId + 1);
    });
  }

  return {
    upstreams: {
      bodyMemory: createBodyMemory(),
      send(address, {path, headers}, listener) {
        let isAborted = false;
        const position = headers.indexOf(LAST_EVENT_HEADER);
        const lastEventId = position < 0 ? 0 : Number(headers[position + 1]);
        stream(address, path, lastEventId, listener, () => isAborted);
        return {
          hasStarted: () => true,
          abort: () => (isAborted = true),
          pause() {},
          resume() {},
        };
      },
      retainOnly() {},
      renew() {},
      dump: () => ({}),
      dispose() {},
    },
    runsOf: address => runs.get(address) ?? 0,
    probe: (address, timeoutMs) =>
      new Promise(resolve => {
        schedule(address, ROUND_TRIP_MS, () => resolve(true));
        clock.after(timeoutMs, () => resolve(false));
      }),
    pause: addresses =>
      addresses.forEach(address => heldSteps.set(address, [])),
    resume(addresses) {
      for (const address of addresses) {
        const steps = heldSteps.get(address) ?? [];
        heldSteps.delete(address);
        steps.forEach(step => step());
      }
    },
    setSlowness: (addresses, factor) =>
      addresses.forEach(address => slownesses.set(address, factor)),
    setBreakRate: (addresses, rate) =>
      addresses.forEach(address => breakRates.set(address, rate)),
  };
}
