/** Polls assigned endpoints for load and cache events, at a bounded rate. */
import {
  disposableStore,
  isServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Router} from '@skylarkfield/routing';
import type {ConnectedEndpoint, EndpointPool} from '../servingContext.js';

/** Minimum times between two polls of one endpoint, in milliseconds. */
const LOAD_POLL_INTERVAL_MS = 500;
const CACHE_POLL_INTERVAL_MS = 1_000;
/** Maximum polls per second, however many endpoints there are. */
const MAX_LOAD_POLLS_PER_SECOND = 16;
const MAX_CACHE_POLLS_PER_SECOND = 8;
const POLL_TIMEOUT_MS = 2_000;
const MS_PER_SECOND = 1_000;

interface PollingOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly router: Router;
  readonly endpoints: EndpointPool;
}

/** A round-robin poll of endpoints. */
interface PollTask {
  readonly types: readonly ConnectedEndpoint['listed']['type'][];
  readonly endpointIntervalMs: number;
  readonly maxPollsPerSecond: number;
  poll(endpoint: ConnectedEndpoint, signal: AbortSignal): Promise<void>;
}

/**
 * Starts polling. Polls are spread evenly over each round; an endpoint with a
 * poll in flight is skipped, so that hung endpoints accumulate no open
 * requests.
 *
 * @example
 * disposables.add(startPolling({clock, log, router, endpoints}));
 */
export function startPolling(options: PollingOptions): Disposable {
  const {clock, log, router, endpoints} = options;
  const disposables = disposableStore();
  /** Sequence number of the last cache event of each endpoint. */
  const lastSequences = new Map<string, number>();

  async function pollLoad(endpoint: ConnectedEndpoint, signal: AbortSignal) {
    const {id} = endpoint.listed;
    const client = endpoint.engine ?? endpoint.plain;
    try {
      const report = await client?.load(signal);
      if (report !== undefined) {
        router.reportLoad(id, report);
      }
    } catch (error) {
      if (isServingError(error, 'endpoint-unavailable')) {
        router.reportUnreachable(id);
      }
      throw error;
    }
  }

  async function pollCacheEvents(
    endpoint: ConnectedEndpoint,
    signal: AbortSignal,
  ) {
    const {id} = endpoint.listed;
    const lastSequence = lastSequences.get(id) ?? -1;
    const events = await endpoint.engine?.cacheEvents(lastSequence, signal);
    if (events !== undefined) {
      lastSequences.set(id, router.applyCacheEvents(id, events));
    }
  }

  const tasks: PollTask[] = [
    {
      types: ['model', 'plain'],
      endpointIntervalMs: LOAD_POLL_INTERVAL_MS,
      maxPollsPerSecond: MAX_LOAD_POLLS_PER_SECOND,
      poll: pollLoad,
    },
    {
      types: ['model'],
      endpointIntervalMs: CACHE_POLL_INTERVAL_MS,
      maxPollsPerSecond: MAX_CACHE_POLLS_PER_SECOND,
      poll: pollCacheEvents,
    },
  ];
  tasks.forEach(start);
  return disposables;

  function start(task: PollTask): void {
    const inFlight = new Set<string>();
    let position = 0;
    let timer = clock.after(0, pollNext);
    disposables.add({dispose: () => timer.dispose()});

    function pollNext(): void {
      const assigned = router
        .assignedEndpoints()
        .filter(({type}) => task.types.includes(type));
      const intervalMs = Math.max(
        MS_PER_SECOND / task.maxPollsPerSecond,
        task.endpointIntervalMs / Math.max(1, assigned.length),
      );
      if (!disposables.isDisposed) {
        timer = clock.after(intervalMs, pollNext);
      }
      position += 1;
      const id = assigned[position % Math.max(1, assigned.length)]?.id;
      const endpoint = id === undefined ? undefined : endpoints.get(id);
      if (endpoint !== undefined && !inFlight.has(endpoint.listed.id)) {
        void pollOnce(endpoint);
      }
    }

    async function pollOnce(endpoint: ConnectedEndpoint): Promise<void> {
      const {id} = endpoint.listed;
      const controller = new AbortController();
      const timeout = clock.after(POLL_TIMEOUT_MS, () => controller.abort());
      inFlight.add(id);
      try {
        await task.poll(endpoint, controller.signal);
      } catch (error) {
        log.debug({endpoint: id, error: String(error)}, 'endpoint poll failed');
      } finally {
        timeout.dispose();
        inFlight.delete(id);
      }
    }
  }
}
