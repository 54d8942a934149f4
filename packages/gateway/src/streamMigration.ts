/**
 * Moves running streams off an endpoint that leaves.
 *
 * An endpoint that is reclaimed is gone two to three seconds after its notice.
 * Short answers end by themselves in that time; a long one would break off, and
 * its caller would have to ask again and wait for the whole prompt to be read.
 */
import {
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Choice} from '@skylarkfield/routing';
import type {EngineMoves, KvCacheRef} from './contracts.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** Where a stream goes on. */
export interface Continuation {
  readonly choice: Choice;
  readonly memory: KvCacheRef;
}

/** A stream while it runs at one endpoint. */
export interface WatchedStream extends Disposable {
  /** Whether its endpoint was told to stop it. */
  isStopRequested(): boolean;
  /** Where it goes on; undefined when it was not moved. Waits for a move that is under way. */
  continuation(): Promise<Continuation | undefined>;
}

export interface StreamMigrator {
  /** Watches a stream until it is disposed; `choose` names another endpoint. */
  watch(options: {
    readonly endpoint: string;
    readonly attemptId: string;
    /** Whether its first event has come: before it there is nothing to move. */
    hasBegun(): boolean;
    choose(): Choice | undefined;
  }): WatchedStream;
}

/**
 * Time from the notice to the move, in milliseconds: most answers end within it,
 * and of a notice of two seconds half is left for the copy.
 */
const MIGRATION_DELAY_MS = 800;

/** Time for the copy, in milliseconds: it is queued behind those of all other streams that leave. */
const MIGRATION_TIMEOUT_MS = 1_000;

/**
 * Makes the moves of one entry.
 *
 * @example
 * const watched = moves.watch({endpoint, attemptId, hasBegun, choose});
 * const next = await watched.continuation();
 */
export function createStreamMigrator(options: {
  readonly directory: EndpointDirectory;
  readonly engines: EngineMoves;
  readonly clock: Clock;
  readonly log: Logger;
}): StreamMigrator {
  const {directory, engines, clock, log} = options;

  async function migrate(
    endpoint: string,
    attemptId: string,
    choose: () => Choice | undefined,
  ): Promise<Continuation | undefined> {
    const source = directory.get(endpoint);
    const choice = choose();
    const target = choice && directory.get(choice.endpoint);
    if (source === undefined || choice === undefined || target === undefined) {
      choice?.finish({outcome: 'cancelled', latencyMs: 0});
      return undefined;
    }
    const startedAt = clock.now();
    const answer = await engines
      .move(
        source.address,
        attemptId,
        target.address,
        AbortSignal.timeout(MIGRATION_TIMEOUT_MS),
      )
      .catch(error => {
        const {kind, message} = toServingError(error);
        log.warn(
          {request: attemptId, endpoint, kind, message},
          'stream not moved',
        );
        return {type: 'unknown'} as const;
      });
    log.info(
      {
        request: attemptId,
        from: endpoint,
        to: choice.endpoint,
        answer: answer.type,
        tookMs: Math.round(clock.now() - startedAt),
      },
      'stream moved off a leaving endpoint',
    );
    if (answer.type === 'moved') {
      return {choice, memory: answer.memory};
    }
    choice.finish({outcome: 'cancelled', latencyMs: 0});
    return undefined;
  }

  return {
    watch({endpoint, attemptId, hasBegun, choose}) {
      let migration: Promise<Continuation | undefined> | undefined;
      let timer: Disposable | undefined;
      const subscription = directory.onDidLeave(leavingEndpoint => {
        if (leavingEndpoint !== endpoint || timer !== undefined) {
          return;
        }
        timer = clock.after(MIGRATION_DELAY_MS, () => {
          if (hasBegun()) {
            migration = migrate(endpoint, attemptId, choose);
          }
        });
      });
      return {
        isStopRequested: () => migration !== undefined,
        continuation: () => migration ?? Promise.resolve(undefined),
        dispose() {
          subscription.dispose();
          timer?.dispose();
        },
      };
    },
  };
}
