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
import type {RequestMigrator, KvCacheReference} from './contracts.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** Target of a migrated stream. */
export interface Continuation {
  readonly choice: Choice;
  readonly kvCache: KvCacheReference;
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
 * Timeout of copying the KV cache of one stream, in milliseconds; it includes
 * the wait for the copies of all other streams on the endpoint.
 */
const MIGRATION_TIMEOUT_MS = 1_000;

/**
 * Creates the migrator of one entry.
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

  async function migrate(
    attemptId: string,
    source: RegisteredEndpoint,
    target: RegisteredEndpoint,
    choice: Choice,
  ): Promise<Continuation | undefined> {
    const startedAt = clock.now();
    const result = await requestMigrator
      .migrate(
        source.address,
        attemptId,
        target.address,
        AbortSignal.timeout(MIGRATION_TIMEOUT_MS),
      )
      .catch(error => {
        const {kind, message} = toServingError(error);
        log.warn(
          {request: attemptId, endpoint: source.id, kind, message},
          'stream migration failed',
        );
        return {type: 'unknown'} as const;
      });
    log.info(
      {
        request: attemptId,
        from: source.id,
        to: choice.endpoint,
        answer: result.type,
        tookMs: Math.round(clock.now() - startedAt),
      },
      'stream migration finished',
    );
    if (result.type === 'moved') {
      return {choice, kvCache: result.kvCache};
    }
    choice.finish({outcome: 'cancelled', latencyMs: 0});
    return undefined;
  }

  return {
    watch({endpoint, attemptId, hasBegun, chooseEndpoint}) {
      let migration: Promise<Continuation | undefined> | undefined;
      let isMigrating = false;
      let timer: Disposable | undefined;

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
        const choice = chooseEndpoint();
        const target = choice && directory.get(choice.endpoint);
        if (choice === undefined || target === undefined) {
          choice?.finish({outcome: 'cancelled', latencyMs: 0});
          return;
        }
        isMigrating = true;
        migration = migrate(attemptId, source, target, choice).finally(
          () => (isMigrating = false),
        );
      }

      const subscription = directory.onDidLeave(leavingEndpoint => {
        const isWatched = timer !== undefined || migration !== undefined;
        if (leavingEndpoint === endpoint && !isWatched) {
          timer = clock.after(MIGRATION_DELAY_MS, migrateIfLeaving);
        }
      });
      return {
        isStopRequested: () => migration !== undefined,
        isMigrating: () => isMigrating,
        continuation: () => migration ?? Promise.resolve(undefined),
        dispose() {
          subscription.dispose();
          timer?.dispose();
        },
      };
    },
  };
}
