/** Asks the endpoints that this entry uses for their load and cache events, at a bounded rate. */
import {
  disposableStore,
  isServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Router} from '@skylarkfield/routing';
import type {ConnectedEndpoint, EndpointPool} from '../serving.js';

/** Shortest time between two questions to one endpoint, in milliseconds. */
const LOAD_INTERVAL_MS = 500;
const CACHE_INTERVAL_MS = 1_000;
/** The most questions of a kind a second, however many endpoints there are. */
const LOAD_QUESTIONS_PER_SECOND = 16;
const CACHE_QUESTIONS_PER_SECOND = 8;
const QUESTION_TIMEOUT_MS = 2_000;
const SECOND_MS = 1_000;

interface PollingOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly router: Router;
  readonly endpoints: EndpointPool;
}

/** A question that is asked of one endpoint after the other, again and again. */
interface Round {
  readonly types: readonly ConnectedEndpoint['listed']['type'][];
  readonly intervalMs: number;
  readonly questionsPerSecond: number;
  ask(endpoint: ConnectedEndpoint, signal: AbortSignal): Promise<void>;
}

/**
 * Starts to ask. The questions are spread over each round, and an endpoint
 * that has not answered the last one is passed over, so that hung endpoints
 * gather no open questions.
 *
 * @example
 * owned.add(startPolling({clock, log, router, endpoints}));
 */
export function startPolling(options: PollingOptions): Disposable {
  const {clock, log, router, endpoints} = options;
  const owned = disposableStore();
  /** Sequence of the last cache event of each endpoint. */
  const lastEvents = new Map<string, number>();

  async function askLoad(endpoint: ConnectedEndpoint, signal: AbortSignal) {
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

  async function askCache(endpoint: ConnectedEndpoint, signal: AbortSignal) {
    const {id} = endpoint.listed;
    const after = lastEvents.get(id) ?? -1;
    const events = await endpoint.engine?.cacheEvents(after, signal);
    if (events !== undefined) {
      lastEvents.set(id, router.applyCacheEvents(id, events));
    }
  }

  const rounds: Round[] = [
    {
      types: ['model', 'plain'],
      intervalMs: LOAD_INTERVAL_MS,
      questionsPerSecond: LOAD_QUESTIONS_PER_SECOND,
      ask: askLoad,
    },
    {
      types: ['model'],
      intervalMs: CACHE_INTERVAL_MS,
      questionsPerSecond: CACHE_QUESTIONS_PER_SECOND,
      ask: askCache,
    },
  ];
  rounds.forEach(start);
  return owned;

  function start(round: Round): void {
    const waiting = new Set<string>();
    let turn = 0;
    let timer = clock.after(0, next);
    owned.add({dispose: () => timer.dispose()});

    function next(): void {
      const held = router
        .assignedEndpoints()
        .filter(({type}) => round.types.includes(type));
      const paceMs = Math.max(
        SECOND_MS / round.questionsPerSecond,
        round.intervalMs / Math.max(1, held.length),
      );
      if (!owned.isDisposed) {
        timer = clock.after(paceMs, next);
      }
      turn += 1;
      const id = held[turn % Math.max(1, held.length)]?.id;
      const endpoint = id === undefined ? undefined : endpoints.get(id);
      if (endpoint !== undefined && !waiting.has(endpoint.listed.id)) {
        void askOnce(endpoint);
      }
    }

    async function askOnce(endpoint: ConnectedEndpoint): Promise<void> {
      const {id} = endpoint.listed;
      const stop = new AbortController();
      const limit = clock.after(QUESTION_TIMEOUT_MS, () => stop.abort());
      waiting.add(id);
      try {
        await round.ask(endpoint, stop.signal);
      } catch (error) {
        log.debug({endpoint: id, error: String(error)}, 'no answer');
      } finally {
        limit.dispose();
        waiting.delete(id);
      }
    }
  }
}
