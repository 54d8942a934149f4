/** Handlers for the ledger messages of other entries. */
import {disposableStore, type Clock, type Disposable} from '@skylarkfield/base';
import type {
  ClaimOutcome,
  ForwardAnswer,
  OrderMessages,
} from '@skylarkfield/protocol';
import type {OrderRequest} from './activeOrder.js';
import {toForwardAnswer, type ExecuteResult} from './forwardAnswer.js';
import type {OrderNetwork} from './orderRouter.js';
import type {Shard} from './shardContracts.js';

export interface PeerMessageOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly member: string;
  readonly shards: readonly Shard[];
  readonly isLeaving: () => boolean;
  readonly execute: (
    request: OrderRequest,
    signal: AbortSignal,
  ) => Promise<ExecuteResult>;
  /** Waits for a claim of this process to end and returns its outcome. */
  readonly awaitOutcome: (
    id: string,
    token: string,
  ) => Promise<ClaimOutcome | undefined>;
  readonly recordOutcome: (
    shard: number,
    outcome: ClaimOutcome,
    hops: number,
  ) => void;
}

const MAX_OUTCOME_HOPS = 5;
const MAX_CACHED_FORWARDS = 5_000;
/** A forwarded order that arrives this long after its deadline is rejected. */
const STALE_FORWARD_MARGIN_MS = 60_000;

/**
 * Handles the messages of other entries until disposed.
 *
 * @example
 * const messages = handlePeerMessages({network, clock, shards, ...callbacks});
 */
export function handlePeerMessages(options: PeerMessageOptions): Disposable {
  const {network, clock, member, shards} = options;
  const disposables = disposableStore();
  const forwards = new Map<string, Promise<ForwardAnswer>>();

  function handleForward(
    body: OrderMessages['orderForward'],
  ): Promise<ForwardAnswer> {
    // A duplicate delivery must not execute what the first delivery rejected.
    const earlier = forwards.get(body.attempt);
    if (earlier !== undefined) {
      return earlier;
    }
    const answer = executeForwarded(body);
    forwards.set(body.attempt, answer);
    void answer.then(({type}) => {
      // The ledger answers duplicates; caching replies here would cost memory.
      if (type === 'reply') {
        forwards.delete(body.attempt);
      }
    });
    const [oldest] = forwards.keys();
    if (forwards.size > MAX_CACHED_FORWARDS && oldest !== undefined) {
      forwards.delete(oldest);
    }
    return answer;
  }

  async function executeForwarded(
    body: OrderMessages['orderForward'],
  ): Promise<ForwardAnswer> {
    const {id, print, service, call, leftMs, released} = body;
    const ageMs = clock.wall() - body.sentAtWall;
    if (ageMs > leftMs + STALE_FORWARD_MARGIN_MS) {
      return errorAnswer(
        'deadline-exceeded',
        'the forwarded order was delivered too late',
      );
    }
    if (options.isLeaving()) {
      return errorAnswer('leaving', 'this entry is leaving');
    }
    const deadline = clock.now() + leftMs;
    const request = {id, print, service, call, deadline, released};
    const result = await options.execute(request, neverAbortedSignal());
    if (result.type === 'no-answer' || result.type === 'not-sent') {
      return errorAnswer('not-ready', 'no entry can accept the order now');
    }
    return toForwardAnswer(result, member);
  }

  async function receiveOutcomes(
    body: OrderMessages['orderOutcomes'],
  ): Promise<void> {
    const shard = shards[body.shard];
    if (shard === undefined || body.hops > MAX_OUTCOME_HOPS) {
      return;
    }
    await shard.acquire().catch(() => undefined);
    for (const outcome of body.outcomes) {
      options.recordOutcome(body.shard, outcome, body.hops);
    }
  }

  disposables.add(
    network.onDidReceive('orderForward', (_from, body) => handleForward(body)),
  );
  disposables.add(
    network.onDidReceive('orderOutcomeWanted', (_from, {id, token}) =>
      options.awaitOutcome(id, token),
    ),
  );
  disposables.add(
    network.onDidReceive('orderOutcomes', async (_from, body) => {
      await receiveOutcomes(body);
      return true;
    }),
  );
  disposables.add(
    network.onDidReceive('orderHandOver', async (_from, {shard}) => {
      if (!options.isLeaving()) {
        await shards[shard]?.acquire().catch(() => undefined);
      }
      return true;
    }),
  );
  return disposables;
}

function errorAnswer(
  kind: 'deadline-exceeded' | 'leaving' | 'not-ready',
  message: string,
): ForwardAnswer {
  return {type: 'error', kind, message, run: 'not-run'};
}

/** Returns a new signal: listeners would accumulate on a shared one. */
function neverAbortedSignal(): AbortSignal {
  return new AbortController().signal;
}
