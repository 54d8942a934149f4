/** Polls this entry's endpoints for load and cache events at a bounded rate. */
import {
  createDisposableStore,
  isServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Router} from '@skylarkfield/routing';
import type {ConnectedEndpoint, EndpointPool} from '../servingContext.js';

/** Minimum intervals between two polls of one endpoint, in milliseconds. */
const LOAD_POLL_INTERVAL_MS = 500;
const CACHE_POLL_INTERVAL_MS = 1_000;
/** Maximum polls per second of this entry, whatever the number of endpoints. */
const MAX_LOAD_POLLS_PER_SECOND = 16;
const MAX_CACHE_POLLS_PER_SECOND = 8;
const POLL_TIMEOUT_MS = 2_000;
const MS_PER_SECOND = 1_000;

interface PollingOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly router: Router;
  readonly endpointPool: EndpointPool;
}

/** A round-robin poll of endpoints. */
interface PollTask {
  readonly endpointTypes: readonly ConnectedEndpoint['listedEndpoint']['type'][];
  readonly endpointIntervalMs: number;
  readonly maxPollsPerSecond: number;
  poll(endpoint: ConnectedEndpoint, signal: AbortSignal): Promise<void>;
}

/**
 * Starts to poll the endpoints that the router assigns to this entry. Polls are
 * spread evenly over each round; an endpoint with a poll in flight is skipped,
 * so that hung endpoints accumulate no open requests.
 *
 * @example
 * disposables.add(startPolling({clock, log, router, endpointPool}));
 */
export function startPolling(options: PollingOptions): Disposable {
  const {clock, log, router, endpointPool} = options;
  const disposables = createDisposableStore();
  /** Sequence number of the last applied cache event, by endpoint id. */
  const lastSequences = new Map<string, number>();

  async function pollLoad(endpoint: ConnectedEndpoint, signal: AbortSignal) {
    const {id} = endpoint.listedEndpoint;
    const client = endpoint.engine ?? endpoint.plainService;
    try {
      const report = await client?.load(signal);
      if (report !== undefined) {
        router.recordLoadReport(id, report);
      }
    } catch (error) {
      if (isServingError(error, 'endpoint-unavailable')) {
        router.recordUnreachable(id);
      }
      throw error;
    }
  }

  async function pollCacheEvents(
    endpoint: ConnectedEndpoint,
    signal: AbortSignal,
  ) {
    const {id} = endpoint.listedEndpoint;
    const lastSequence = lastSequences.get(id) ?? -1;
    const events = await endpoint.engine?.readCacheEvents(lastSequence, signal);
    if (events !== undefined) {
      lastSequences.set(id, router.applyCacheEvents(id, events));
    }
  }

  const tasks: PollTask[] = [
    {
      endpointTypes: ['model', 'plain'],
      endpointIntervalMs: LOAD_POLL_INTERVAL_MS,
      maxPollsPerSecond: MAX_LOAD_POLLS_PER_SECOND,
      poll: pollLoad,
    },
    {
      endpointTypes: ['model'],
      endpointIntervalMs: CACHE_POLL_INTERVAL_MS,
      maxPollsPerSecond: MAX_CACHE_POLLS_PER_SECOND,
      poll: pollCacheEvents,
    },
  ];
  tasks.forEach(startTask);
  return disposables;

  function startTask(task: PollTask): void {
    const inFlightIds = new Set<string>();
    let roundRobinIndex = 0;
    let timer = clock.after(0, pollNext);
    disposables.add({dispose: () => timer.dispose()});

    function pollNext(): void {
      const assignedEndpoints = router
        .assignedEndpoints()
        .filter(({type}) => task.endpointTypes.includes(type));
      const intervalMs = Math.max(
        MS_PER_SECOND / task.maxPollsPerSecond,
        task.endpointIntervalMs / Math.max(1, assignedEndpoints.length),
      );
      if (!disposables.isDisposed) {
        timer = clock.after(intervalMs, pollNext);
      }
      roundRobinIndex += 1;
      const id =
        assignedEndpoints[
          roundRobinIndex % Math.max(1, assignedEndpoints.length)
        ]?.id;
      const endpoint = id === undefined ? undefined : endpointPool.get(id);
      if (
        endpoint !== undefined &&
        !inFlightIds.has(endpoint.listedEndpoint.id)
      ) {
        void pollEndpoint(endpoint);
      }
    }

    async function pollEndpoint(endpoint: ConnectedEndpoint): Promise<void> {
      const {id} = endpoint.listedEndpoint;
      const controller = new AbortController();
      const timeout = clock.after(POLL_TIMEOUT_MS, () => controller.abort());
      inFlightIds.add(id);
      try {
        await task.poll(endpoint, controller.signal);
      } catch (error) {
        log.debug({endpoint: id, error: String(error)}, 'endpoint poll failed');
      } finally {
        timeout.dispose();
        inFlightIds.delete(id);
      }
    }
  }
}
