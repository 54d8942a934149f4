/** Handlers for the ledger messages of other entries. */
import {
  createDisposableStore,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
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
  /**
   * Waits for a claim of this process to end and returns its outcome; undefined
   * if this process does not know the outcome.
   */
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
  const disposables = createDisposableStore();
  /** Answers to forwarded orders, by the id of the forwarding attempt. */
  const answersByAttempt = new Map<string, Promise<ForwardAnswer>>();

  function handleForward(
    body: OrderMessages['orderForward'],
  ): Promise<ForwardAnswer> {
    // A duplicate of a message must not execute an order that was rejected when
    // the message first arrived.
    const earlierAnswer = answersByAttempt.get(body.attempt);
    if (earlierAnswer !== undefined) {
      return earlierAnswer;
    }
    const answer = executeForwarded(body);
    answersByAttempt.set(body.attempt, answer);
    void answer.then(({type}) => {
      // Replies are not cached, to save memory: the ledger contains the reply
      // for a duplicate.
      if (type === 'reply') {
        answersByAttempt.delete(body.attempt);
      }
    });
    const [oldestAttempt] = answersByAttempt.keys();
    if (
      answersByAttempt.size > MAX_CACHED_FORWARDS &&
      oldestAttempt !== undefined
    ) {
      answersByAttempt.delete(oldestAttempt);
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
      return errorAnswer(
        'leaving',
        'this entry is leaving and accepts no orders',
      );
    }
    const deadline = clock.now() + leftMs;
    const request = {
      id,
      requestDigest: print,
      service,
      call,
      deadline,
      releasedTokens: released,
    };
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
    network.addHandler('orderForward', (_from, body) => handleForward(body)),
  );
  disposables.add(
    network.addHandler('orderOutcomeWanted', (_from, {id, token}) =>
      options.awaitOutcome(id, token),
    ),
  );
  disposables.add(
    network.addHandler('orderOutcomes', async (_from, body) => {
      await receiveOutcomes(body);
      return true;
    }),
  );
  disposables.add(
    network.addHandler('orderHandOver', async (_from, {shard}) => {
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

/** Returns a new signal: listeners would accumulate on a shared signal. */
function neverAbortedSignal(): AbortSignal {
  return new AbortController().signal;
}
