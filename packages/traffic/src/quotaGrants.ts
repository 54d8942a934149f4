/**
 * Decides on requests of customers with quotas: asks the owner of the quota,
 * or an entry that stands in for it.
 */
import type {Clock, Logger} from '@skylarkfield/base';
import type {CustomerConfig} from './contracts.js';
import type {QuotaState} from './quotaAccount.js';
import type {
  QuotaAnswer,
  QuotaGrant,
  QuotaPeers,
  QuotaQuestion,
  QuotaRedirect,
  QuotaRefund,
  QuotaTakeover,
  QuotaTakeoverAnswer,
} from './quotaContracts.js';
import {createQuotaOwnership} from './quotaOwnership.js';
import type {Quotas} from './quotas.js';

export interface QuotaGrants {
  /** Decides on a request of a customer of this entry's callers. */
  consume(customer: CustomerConfig, amount: number): Promise<QuotaGrant>;
  /**
   * Decides on a request at another entry, or names the entries that should
   * decide: the entries that rank before this one, unless they did not answer.
   */
  answer(
    customer: CustomerConfig,
    question: QuotaQuestion,
  ): QuotaAnswer | QuotaRedirect;
  /** Takes back a charge made by `answer`. */
  takeBack(customer: CustomerConfig, refund: QuotaRefund): void;
  /** Leaves a quota to another entry that has become its owner. */
  yieldTo(entry: string, takeover: QuotaTakeover): QuotaTakeoverAnswer;
  /** Takes over the quotas whose owner this entry has become. */
  updateOwners(): void;
}

const MS_PER_SECOND = 1_000;

/** Number of ranked entries that may decide: the owner and its stand-ins. */
const MAX_RANKED = 3;

/** Maximum number of entries that are asked for one request. */
const MAX_ASKED = 5;

/**
 * Time for which an entry that did not answer is not asked again, in
 * milliseconds: requests would wait for its time limit.
 */
const AVOID_MS = 500;

/**
 * Retry-After if no entry can decide, in milliseconds: the membership excludes
 * silent entries by then.
 */
const UNDECIDED_RETRY_MS = 400;

/**
 * Upper bound of the time for which a rejection by the owner applies to further
 * requests, in milliseconds: refunds may make the quota available sooner.
 */
const MAX_EXHAUSTED_MS = 200;

/** Upper bound of the time after which to retry, in milliseconds. */
const MAX_RETRY_AFTER_MS = 8_000;

/** An answer, and the entry that gave it. */
interface Decision {
  readonly answer: QuotaAnswer;
  readonly entry: string;
}

/**
 * Creates the decisions on quotas at one entry.
 *
 * @example
 * const grants = createQuotaGrants({clock, log, self: 'a1', incarnation, quotas, peers});
 * const grant = await grants.consume(customer, 1_540);
 * if (grant.outcome !== 'granted') { reject(grant.retryAfterMs); }
 */
export function createQuotaGrants(options: {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly incarnation: number;
  readonly quotas: Quotas;
  readonly peers: QuotaPeers;
}): QuotaGrants {
  const {clock, log, self, incarnation, quotas, peers} = options;
  const ownership = createQuotaOwnership(options);
  const avoidedUntilMs = new Map<string, number>();
  /** Last rejection of each customer by an owner. */
  const rejections = new Map<
    string,
    {entry: string; exhaustedUntilMs: number; latestRetryAtMs: number}
  >();

  function decide(customer: CustomerConfig, amount: number): QuotaAnswer {
    const ranking = peers.rank(customer.name);
    ownership.update(customer.name, ranking[0]);
    const entriesBefore = ownership
      .entriesBefore(customer.name, ranking)
      .slice(0, MAX_RANKED);
    const isLastResort = !ranking.slice(0, MAX_RANKED).includes(self);
    const state = quotas.stateOf(customer);
    const isGranted = quotas.tryConsume(customer, amount, {
      unreportedMs: entriesBefore.map(peers.reportAgeMs),
      isLastResort,
    });
    return {
      isGranted,
      isOwner: entriesBefore.length === 0,
      incarnation,
      chargedAtMs: clock.now(),
      state,
      retryAfterMs: isGranted ? 0 : quotas.retryAfterMs(customer, amount),
      exhaustedForMs: isGranted ? 0 : quotas.availableInMs(customer),
    };
  }

  /**
   * Decides, unless this entry has just left the quota to another one, which
   * ranks differently as long as the entries learn of a change.
   */
  function decideOrRedirect(
    customer: CustomerConfig,
    amount: number,
    unanswered: readonly string[],
  ): QuotaAnswer | QuotaRedirect {
    const successor = ownership.successor(customer.name);
    return successor === undefined || unanswered.includes(successor)
      ? decide(customer, amount)
      : {deciders: [successor]};
  }

  function answer(
    customer: CustomerConfig,
    {amount, unanswered}: QuotaQuestion,
  ): QuotaAnswer | QuotaRedirect {
    const deciders = peers.rank(customer.name).slice(0, MAX_RANKED);
    const decider = deciders.find(entry => !unanswered.includes(entry));
    return decider === self
      ? decideOrRedirect(customer, amount, unanswered)
      : {deciders};
  }

  function takeBack(customer: CustomerConfig, refund: QuotaRefund): void {
    // A process that has started since knows nothing of the charge.
    if (refund.incarnation === incarnation) {
      quotas.refund(customer, refund.amount, refund.chargedAtMs);
    }
  }

  function isAvoided(entry: string): boolean {
    return (avoidedUntilMs.get(entry) ?? 0) > clock.now();
  }

  /** Asks one entry; returns undefined if there is no answer. */
  async function askEntry(
    entry: string,
    customer: CustomerConfig,
    amount: number,
    unanswered: readonly string[],
  ): Promise<QuotaAnswer | QuotaRedirect | undefined> {
    if (entry === self) {
      return decideOrRedirect(customer, amount, unanswered);
    }
    try {
      const question = {customer: customer.name, amount, unanswered};
      return await peers.ask(entry, question);
    } catch (error) {
      avoidedUntilMs.set(entry, clock.now() + AVOID_MS);
      log.info(
        {customer: customer.name, asked: entry, reason: String(error)},
        'no decision on a quota',
      );
      return undefined;
    }
  }

  /**
   * Asks the ranked entries one after the other, and those that they name; in
   * the end this entry decides.
   */
  async function askInOrder(
    customer: CustomerConfig,
    amount: number,
  ): Promise<Decision> {
    const queue = peers.rank(customer.name).slice(0, MAX_RANKED);
    const asked = new Set<string>();
    const unanswered: string[] = [];
    while (queue.length > 0 && asked.size < MAX_ASKED) {
      const entry = queue.shift()!;
      if (isAvoided(entry)) {
        unanswered.push(entry);
        continue;
      }
      asked.add(entry);
      const answered = await askEntry(entry, customer, amount, unanswered);
      if (answered === undefined) {
        unanswered.push(entry);
        continue;
      }
      if (!('deciders' in answered)) {
        return {answer: answered, entry};
      }
      queue.unshift(...answered.deciders.filter(name => !asked.has(name)));
    }
    return {answer: decide(customer, amount), entry: self};
  }

  /**
   * Rejects a request that the owner would certainly reject; undefined
   * otherwise. Saves a message per request while a customer floods the entries.
   */
  function rejectExhausted(
    {name, quota}: CustomerConfig,
    amount: number,
  ): QuotaGrant | undefined {
    const rejection = rejections.get(name);
    const nowMs = clock.now();
    if (rejection === undefined || quota === undefined) {
      return undefined;
    }
    const {entry, exhaustedUntilMs, latestRetryAtMs} = rejection;
    if (exhaustedUntilMs <= nowMs || peers.rank(name)[0] !== entry) {
      rejections.delete(name);
      return undefined;
    }
    const amountMs = (amount / quota.perSecond) * MS_PER_SECOND;
    rejection.latestRetryAtMs = Math.min(
      nowMs + MAX_RETRY_AFTER_MS,
      latestRetryAtMs + amountMs,
    );
    return rejected('exhausted', entry, rejection.latestRetryAtMs - nowMs);
  }

  function rejected(
    outcome: 'exhausted' | 'undecided',
    decidedBy: string,
    retryAfterMs: number,
    state?: QuotaState,
  ): QuotaGrant {
    return {outcome, decidedBy, state, retryAfterMs, refund: () => {}};
  }

  function granted(
    customer: CustomerConfig,
    amount: number,
    entry: string,
    {chargedAtMs, state, ...decision}: QuotaAnswer,
  ): QuotaGrant {
    const refund = {
      customer: customer.name,
      amount,
      incarnation: decision.incarnation,
      chargedAtMs,
    };
    return {
      outcome: 'granted',
      decidedBy: entry,
      state,
      retryAfterMs: 0,
      refund: () =>
        entry === self
          ? takeBack(customer, refund)
          : peers.refund(entry, refund),
    };
  }

  return {
    async consume(customer, amount) {
      const rejection = rejectExhausted(customer, amount);
      if (rejection !== undefined) {
        return rejection;
      }
      const {answer: decision, entry} = await askInOrder(customer, amount);
      if (decision.isGranted) {
        return granted(customer, amount, entry, decision);
      }
      const {retryAfterMs, exhaustedForMs, state} = decision;
      if (!decision.isOwner) {
        return rejected('undecided', entry, UNDECIDED_RETRY_MS, state);
      }
      rejections.set(customer.name, {
        entry,
        exhaustedUntilMs:
          clock.now() + Math.min(exhaustedForMs, MAX_EXHAUSTED_MS),
        latestRetryAtMs: clock.now() + retryAfterMs,
      });
      return rejected('exhausted', entry, retryAfterMs, state);
    },
    answer,
    takeBack,
    yieldTo: ownership.yieldTo,
    updateOwners: () =>
      quotas.customers().forEach(customer => {
        ownership.update(customer, peers.rank(customer)[0]);
      }),
  };
}
