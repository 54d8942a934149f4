/** What other entries ask of this one's ledger. */
import {disposableStore, type Clock, type Disposable} from '@skylarkfield/base';
import type {
  ClaimOutcome,
  ForwardAnswer,
  OrderMessages,
} from '@skylarkfield/protocol';
import type {OrderRequest} from './flight.js';
import {toForwardAnswer, type OrderResult} from './orderAnswers.js';
import type {OrderNetwork} from './orderRoute.js';
import type {Shard} from './shardContracts.js';

export interface PeerOrdersOptions {
  readonly network: OrderNetwork;
  readonly clock: Clock;
  readonly member: string;
  readonly shards: readonly Shard[];
  readonly isLeaving: () => boolean;
  readonly work: (
    request: OrderRequest,
    signal: AbortSignal,
  ) => Promise<OrderResult>;
  /** How a claim of this process ended; waits for its end. */
  readonly outcomeOf: (
    id: string,
    token: string,
  ) => Promise<ClaimOutcome | undefined>;
  readonly noteOutcome: (
    shard: number,
    outcome: ClaimOutcome,
    hops: number,
  ) => void;
}

const MAX_LATE_HOPS = 5;
const REMEMBERED_FORWARDS = 5_000;
/** A forwarded order that lay unread for this much longer than its deadline is dropped. */
const STALE_ALLOWANCE_MS = 60_000;

/**
 * Answers the messages of other entries until disposed.
 *
 * @example
 * owned.add(answerPeers({network, clock, member, shards, ...rest}));
 */
export function answerPeers(options: PeerOrdersOptions): Disposable {
  const {network, clock, member, shards} = options;
  const owned = disposableStore();
  const forwards = new Map<string, Promise<ForwardAnswer>>();

  function handleForward(
    body: OrderMessages['orderForward'],
  ): Promise<ForwardAnswer> {
    // A second delivery must not run what the first was refused for.
    const earlier = forwards.get(body.attempt);
    if (earlier !== undefined) {
      return earlier;
    }
    const answer = workForwarded(body);
    forwards.set(body.attempt, answer);
    void answer.then(({type}) => {
      // A reply is in the ledger, where a second delivery finds it; keeping it here would cost memory.
      if (type === 'reply') {
        forwards.delete(body.attempt);
      }
    });
    const [oldest] = forwards.keys();
    if (forwards.size > REMEMBERED_FORWARDS && oldest !== undefined) {
      forwards.delete(oldest);
    }
    return answer;
  }

  async function workForwarded(
    body: OrderMessages['orderForward'],
  ): Promise<ForwardAnswer> {
    const {id, print, service, call, leftMs, released} = body;
    const age = clock.wall() - body.sentAtWall;
    if (age > leftMs + STALE_ALLOWANCE_MS) {
      return refused('deadline-exceeded', 'the order lay unread too long');
    }
    if (options.isLeaving()) {
      return refused('leaving', 'this entry is leaving');
    }
    const deadline = clock.now() + leftMs;
    const request = {id, print, service, call, deadline, released};
    const result = await options.work(request, neverAborted());
    if (result.type === 'unanswered' || result.type === 'unreached') {
      return refused('not-ready', 'no entry could take the order now');
    }
    return toForwardAnswer(result, member);
  }

  async function takeOutcomes(
    body: OrderMessages['orderOutcomes'],
  ): Promise<void> {
    const shard = shards[body.shard];
    if (shard === undefined || body.hops > MAX_LATE_HOPS) {
      return;
    }
    await shard.own().catch(() => undefined);
    for (const outcome of body.outcomes) {
      options.noteOutcome(body.shard, outcome, body.hops);
    }
  }

  owned.add(
    network.onDidReceive('orderForward', (_from, body) => handleForward(body)),
  );
  owned.add(
    network.onDidReceive('orderOutcomeWanted', (_from, {id, token}) =>
      options.outcomeOf(id, token),
    ),
  );
  owned.add(
    network.onDidReceive('orderOutcomes', async (_from, body) => {
      await takeOutcomes(body);
      return true;
    }),
  );
  owned.add(
    network.onDidReceive('orderHandOver', async (_from, {shard}) => {
      if (!options.isLeaving()) {
        await shards[shard]?.own().catch(() => undefined);
      }
      return true;
    }),
  );
  return owned;
}

function refused(
  kind: 'deadline-exceeded' | 'leaving' | 'not-ready',
  message: string,
): ForwardAnswer {
  return {type: 'error', kind, message, run: 'not-run'};
}

/** A signal of its own for each call: a shared one would gather listeners. */
function neverAborted(): AbortSignal {
  return new AbortController().signal;
}
