/**
 * Migrates running streams off a draining endpoint.
 *
 * A reclaimed endpoint terminates two to three seconds after its reclaim
 * notice. Short responses end in that time; a long response would be cut off,
 * and its caller would have to retry and wait until the whole prompt has been
 * processed again.
 */
import {
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import type {RegisteredEndpoint} from '@skylarkfield/traffic';
import type {KvCacheReference, RequestMigrator} from '../contracts.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';

/** Target of a migrated stream. */
export interface Continuation {
  readonly choice: Choice;
  readonly kvCache: KvCacheReference;
  /** Gives the target back, and frees the copied KV cache. */
  drop(): void;
}

/** A stream while it runs at one endpoint. */
export interface WatchedStream extends Disposable {
  /** Whether the endpoint was requested to stop the stream. */
  isStopRequested(): boolean;
  /** Whether a migration has begun and its result is not known yet. */
  isMigrating(): boolean;
  /**
   * Waits for a migration in progress and returns its target; undefined if no
   * migration was started, or if it failed.
   */
  continuation(): Promise<Continuation | undefined>;
}

export interface StreamMigrator {
  /**
   * Watches a stream until disposed, and migrates the stream if its endpoint
   * starts to drain. `chooseEndpoint` selects another endpoint.
   */
  watch(options: {
    readonly endpoint: string;
    readonly attemptId: string;
    /** Whether the first event has arrived, so that there is a KV cache. */
    hasBegun(): boolean;
    chooseEndpoint(): Choice | undefined;
  }): WatchedStream;
}

/**
 * Time from the reclaim notice to the migration, in milliseconds: most
 * responses end within that time, and half of a two-second notice is left for
 * copying the KV cache.
 */
const MIGRATION_DELAY_MS = 800;

/**
 * Timeout of each call to copy the KV cache of one stream, in milliseconds; it
 * includes the wait for the copies of all other streams on the endpoint.
 */
const COPY_TIMEOUT_MS = 1_000;

/** Progress of a migration. The endpoint stops the stream in the second call. */
type MigrationState = 'none' | 'copying' | 'stopping' | 'stopped';

/** Where a stream is migrated. */
interface Move {
  readonly source: RegisteredEndpoint;
  readonly target: RegisteredEndpoint;
  readonly choice: Choice;
}

/**
 * Creates the migrator of one entry. It copies the KV cache of a stream while
 * the stream runs, and stops the stream only once it has room at its target:
 * the response of a stream that is stopped without a target would be lost.
 *
 * @example
 * const watched = migrator.watch({endpoint, attemptId, hasBegun,
 *   chooseEndpoint});
 * const target = await watched.continuation();
 */
export function createStreamMigrator(options: {
  readonly directory: EndpointDirectory;
  readonly requestMigrator: RequestMigrator;
  readonly clock: Clock;
  readonly log: Logger;
}): StreamMigrator {
  const {directory, requestMigrator, clock, log} = options;

  /** Returns the result of a call; undefined if it is not known. */
  async function request<T>(
    attemptId: string,
    {source}: Move,
    send: (signal: AbortSignal) => Promise<T>,
  ): Promise<T | undefined> {
    try {
      return await send(AbortSignal.timeout(COPY_TIMEOUT_MS));
    } catch (error) {
      const {kind, message} = toServingError(error);
      log.warn(
        {request: attemptId, endpoint: source.id, kind, message},
        'stream migration failed',
      );
      return undefined;
    }
  }

  function chooseMove(
    source: RegisteredEndpoint,
    chooseEndpoint: () => Choice | undefined,
  ): Move | undefined {
    const choice = chooseEndpoint();
    const target = choice && directory.get(choice.endpoint);
    if (choice === undefined || target === undefined) {
      choice?.finish({outcome: 'cancelled', latencyMs: 0});
      return undefined;
    }
    return {source, target, choice};
  }

  return {
    watch({endpoint, attemptId, hasBegun, chooseEndpoint}) {
      let state: MigrationState = 'none';
      let continuation: Promise<Continuation | undefined> | undefined;
      let timer: Disposable | undefined;
      let hasEnded = false;

      /**
       * Migrates the stream if its endpoint is still leaving. An endpoint whose
       * registration is missing may be registered again, and serves until then.
       */
      function migrateIfLeaving(): void {
        timer = undefined;
        const source = directory.get(endpoint);
        if (source?.state !== 'draining' || !hasBegun()) {
          return;
        }
        const move = chooseMove(source, chooseEndpoint);
        if (move !== undefined) {
          void migrate(move);
        }
      }

      async function migrate(move: Move): Promise<void> {
        const {source, target, choice} = move;
        state = 'copying';
        const startedAt = clock.now();
        const copy = await request(attemptId, move, signal =>
          requestMigrator.copy(
            source.address,
            attemptId,
            target.address,
            signal,
          ),
        );
        if (copy?.type !== 'copied') {
          state = 'none';
          choice.finish({outcome: 'cancelled', latencyMs: 0});
          logEnd(move, startedAt, copy?.type);
          return;
        }
        if (hasEnded) {
          choice.finish({outcome: 'cancelled', latencyMs: 0});
          logEnd(move, startedAt, 'ended');
          await release(move, copy.kvCache);
          return;
        }
        continuation = stop(move, startedAt, copy.kvCache);
      }

      async function stop(
        move: Move,
        startedAt: number,
        copiedCache: KvCacheReference,
      ): Promise<Continuation | undefined> {
        const {source, target, choice} = move;
        state = 'stopping';
        const result = await request(attemptId, move, signal =>
          requestMigrator.migrate(
            source.address,
            attemptId,
            target.address,
            signal,
          ),
        );
        state = result?.type === 'refused' ? 'none' : 'stopped';
        logEnd(move, startedAt, result?.type);
        if (result?.type === 'moved') {
          const {kvCache} = result;
          return {
            choice,
            kvCache,
            drop() {
              choice.finish({outcome: 'cancelled', latencyMs: 0});
              void release(move, kvCache);
            },
          };
        }
        choice.finish({outcome: 'cancelled', latencyMs: 0});
        if (result?.type === 'refused') {
          void release(move, copiedCache);
        }
        return undefined;
      }

      function release(move: Move, kvCache: KvCacheReference): Promise<void> {
        return request(attemptId, move, signal =>
          requestMigrator.release(kvCache, signal),
        );
      }

      function logEnd(
        {source, choice}: Move,
        startedAt: number,
        answer = 'unknown',
      ): void {
        log.info(
          {
            request: attemptId,
            from: source.id,
            to: choice.endpoint,
            answer,
            tookMs: Math.round(clock.now() - startedAt),
          },
          'stream migration finished',
        );
      }

      const subscription = directory.onDidLeave(leavingEndpoint => {
        const isPending = timer !== undefined || state !== 'none';
        if (leavingEndpoint === endpoint && !isPending) {
          timer = clock.after(MIGRATION_DELAY_MS, migrateIfLeaving);
        }
      });
      return {
        isStopRequested: () => state === 'stopping' || state === 'stopped',
        isMigrating: () => state === 'stopping',
        continuation: () => continuation ?? Promise.resolve(undefined),
        dispose() {
          hasEnded = true;
          subscription.dispose();
          timer?.dispose();
        },
      };
    },
  };
}
