/** What other entries ask of this one's ledger. */
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
  /** How a claim of this process ended; waits for its end. */
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
/** A forwarded order that lay unread for this much longer than its deadline is dropped. */
const STALE_FORWARD_MARGIN_MS = 60_000;

/**
 * Answers the messages of other entries until disposed.
 *
 * @example
 * owned.add(answerPeers({network, clock, member, shards, ...rest}));
 */
export function handlePeerMessages(options: PeerMessageOptions): Disposable {
  const {network, clock, member, shards} = options;
  const disposables = disposableStore();
  const forwards = new Map<string, Promise<ForwardAnswer>>();

  function handleForward(
    body: OrderMessages['orderForward'],
  ): Promise<ForwardAnswer> {
    // A second delivery must not run what the first was refused for.
    const earlier = forwards.get(body.attempt);
    if (earlier !== undefined) {
      return earlier;
    }
    const answer = executeForwarded(body);
    forwards.set(body.attempt, answer);
    void answer.then(({type}) => {
      // A reply is in the ledger, where a second delivery finds it; keeping it here would cost memory.
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
      return errorAnswer('deadline-exceeded', 'the order lay unread too long');
    }
    if (options.isLeaving()) {
      return errorAnswer('leaving', 'this entry is leaving');
    }
    const deadline = clock.now() + leftMs;
    const request = {id, print, service, call, deadline, released};
    const result = await options.execute(request, neverAborted());
    if (result.type === 'no-answer' || result.type === 'not-sent') {
      return errorAnswer('not-ready', 'no entry could take the order now');
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

/** A signal of its own for each call: a shared one would gather listeners. */
function neverAborted(): AbortSignal {
  return new AbortController().signal;
}
