/** Questions and answers between the entries that decide on quotas. */
import type {QuotaState} from './quotaAccount.js';

/** Request to charge a customer's quota. */
export interface QuotaQuestion {
  readonly customer: string;
  readonly amount: number;
  /** Entries that have not answered the sender. */
  readonly unanswered: readonly string[];
}

/** Answer of an entry that leaves the decision to others. */
export interface QuotaRedirect {
  /** Entries that should decide, owner first. */
  readonly deciders: readonly string[];
}

/** Answer of the entry that decides. */
export interface QuotaAnswer {
  readonly isGranted: boolean;
  /** Whether the entry that decides owns the quota, as far as it knows. */
  readonly isOwner: boolean;
  /** Start of the process that decided, which its charges belong to. */
  readonly incarnation: number;
  /** Time of the charge, in monotonic milliseconds of that process. */
  readonly chargedAtMs: number;
  /** Account before the decision; undefined if the customer has no quota. */
  readonly state?: QuotaState | undefined;
  /** After a rejection: milliseconds after which to retry. */
  readonly retryAfterMs: number;
  /**
   * After a rejection: milliseconds for which no request of the customer will
   * be granted.
   */
  readonly exhaustedForMs: number;
}

/** A charge to take back, as its request has not run. */
export interface QuotaRefund {
  readonly customer: string;
  readonly amount: number;
  readonly incarnation: number;
  readonly chargedAtMs: number;
}

/** Announces to the previous owner of a quota that the sender takes it over. */
export interface QuotaTakeover {
  readonly customer: string;
  /** Time for which the sender knows no grants of the receiver, in ms. */
  readonly sinceMs: number;
}

/** What the previous owner has granted since then. */
export interface QuotaTakeoverAnswer {
  readonly granted: number;
  /** Milliseconds since its process started. */
  readonly upMs: number;
}

/** Decision on one request. */
export interface QuotaGrant {
  readonly outcome: 'granted' | 'exhausted' | 'undecided';
  /** Entry that decided. */
  readonly decidedBy: string;
  readonly state?: QuotaState | undefined;
  readonly retryAfterMs: number;
  /** Takes the charge back; has no effect unless the request was granted. */
  refund(): void;
}

/** How this entry reaches the entries that decide on quotas. */
export interface QuotaPeers {
  /** Asks another entry; rejects if there is no answer. */
  ask(
    entry: string,
    question: QuotaQuestion,
  ): Promise<QuotaAnswer | QuotaRedirect>;
  refund(entry: string, refund: QuotaRefund): void;
  /** Takes a quota over; rejects if there is no answer. */
  takeOver(
    entry: string,
    takeover: QuotaTakeover,
  ): Promise<QuotaTakeoverAnswer>;
  /** Ranks the entries that may decide for a customer, owner first. */
  rank(customer: string): readonly string[];
  /** Milliseconds since the known usage of an entry was up to date. */
  reportAgeMs(entry: string): number;
}
