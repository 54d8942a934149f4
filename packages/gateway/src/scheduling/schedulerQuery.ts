/** Asks one entry, as the scheduler of a service, to place a request. */
import {
  createDisposableStore,
  toServingError,
  type Clock,
  type Disposable,
  type ServingError,
} from '@skylarkfield/base';
import type {
  Messages,
  PeerNetwork,
  PlacementResponse,
  PlacementResult,
} from '@skylarkfield/protocol';
import type {ActivePlacements} from './activePlacements.js';
import type {ScheduledRequest} from './schedulerContracts.js';
import type {SchedulerHost} from './schedulerHost.js';
import type {SchedulerSelection} from './schedulerSelection.js';

/** Result of one question. */
export type QueryResult =
  | PlacementResult
  /** There will be no decision. `asksAgain`: the same entry may be asked. */
  | {readonly type: 'lost'; readonly asksAgain: boolean};

export interface SchedulerQuery extends Disposable {
  /** Number of requests that were asked for and are not decided. */
  readonly pendingCount: number;
  /** `request.id` is unique among all questions of this entry. */
  ask(
    scheduler: string,
    request: ScheduledRequest,
    signal: AbortSignal,
  ): Promise<QueryResult>;
}

/** Upper bound of the time to wait for an answer, in milliseconds. */
const MAX_ANSWER_MS = 60;

/** Fraction of the time until the latency target that a question may take. */
const ANSWER_FRACTION = 0.25;
const MIN_ANSWER_MS = 10;

/**
 * Time until which a late answer is awaited in order to withdraw its placement,
 * in milliseconds.
 */
const LATE_ANSWER_MS = 1_000;

/**
 * Additional time, in milliseconds, for an answer that may have arrived while
 * this process was paused: timers run before received data is read.
 */
const PAUSE_GRACE_MS = 5;

/** Time by which a decision may be later than announced, in milliseconds. */
const DECISION_MARGIN_MS = 50;

const LOST: QueryResult = {type: 'lost', asksAgain: false};
const LOST_CONNECTION: QueryResult = {type: 'lost', asksAgain: true};

/** A request that waits for a decision. */
interface PendingDecision {
  readonly scheduler: string;
  readonly service: string;
  resolve(result: QueryResult): void;
}

/** State when a question was asked. */
interface QuestionStart {
  readonly askedAt: number;
  /** Number of the peer's connections that had been replaced. */
  readonly replacedBefore: number;
}

type PeerAnswer =
  | {readonly type: 'answered'; readonly response: PlacementResponse}
  | {readonly type: 'late'}
  | {readonly type: 'failed'; readonly error: ServingError};

/**
 * Creates the questions of one entry.
 *
 * @example
 * const result = await query.ask('a1', request, callerSignal);
 */
export function createSchedulerQuery(options: {
  readonly self: string;
  readonly clock: Clock;
  readonly network: PeerNetwork;
  readonly host: Pick<SchedulerHost, 'request'>;
  readonly selection: SchedulerSelection;
  readonly activePlacements: ActivePlacements;
  /** Called when a scheduler tells that a service has little room. */
  onDidLearnContention(service: string): void;
}): SchedulerQuery {
  const {self, clock, network, host, selection, activePlacements} = options;
  const disposables = createDisposableStore();
  const pendingDecisions = new Map<string, PendingDecision>();
  /** Number of connections of each peer that were replaced. */
  const replacementCounts = new Map<string, number>();

  function replacementCount(peer: string): number {
    return replacementCounts.get(peer) ?? 0;
  }

  function loseDecisions(
    result: QueryResult,
    isLost: (pending: PendingDecision) => boolean,
  ): void {
    for (const pending of [...pendingDecisions.values()]) {
      if (isLost(pending)) {
        pending.resolve(result);
      }
    }
  }

  function answerTimeoutMs({targetAt}: ScheduledRequest): number {
    const untilTargetMs = targetAt - clock.now();
    return Math.max(
      MIN_ANSWER_MS,
      Math.min(MAX_ANSWER_MS, untilTargetMs * ANSWER_FRACTION),
    );
  }

  function awaitAnswer(
    response: Promise<PlacementResponse>,
    timeoutMs: number,
  ): Promise<PeerAnswer> {
    const dueAt = clock.now() + timeoutMs;
    return new Promise(resolve => {
      const resolveLate = () => resolve({type: 'late'});
      let timer = clock.after(timeoutMs, () => {
        if (clock.now() - dueAt < PAUSE_GRACE_MS) {
          resolveLate();
          return;
        }
        timer = clock.after(PAUSE_GRACE_MS, resolveLate);
      });
      void response
        .then(
          (answer): PeerAnswer => ({type: 'answered', response: answer}),
          (error): PeerAnswer => ({
            type: 'failed',
            error: toServingError(error),
          }),
        )
        .then(answer => {
          timer.dispose();
          resolve(answer);
        });
    });
  }

  function handleLate(
    scheduler: string,
    request: ScheduledRequest,
    {askedAt, replacedBefore}: QuestionStart,
    response: Promise<PlacementResponse>,
  ): void {
    const {service} = request;
    const isWithdrawn = activePlacements.withdraw(request, scheduler);
    response.then(
      () => {
        // The withdrawal follows the question, unless there was no connection yet
        // or the question went over a previous one.
        if (!isWithdrawn || replacementCount(scheduler) !== replacedBefore) {
          activePlacements.withdraw(request, scheduler);
        }
      },
      () => {},
    );
    if (selection.recordLate(service, scheduler, askedAt)) {
      loseDecisions(
        LOST,
        pending =>
          pending.scheduler === scheduler && pending.service === service,
      );
    }
  }

  async function askPeer(
    scheduler: string,
    request: ScheduledRequest,
  ): Promise<PlacementResponse | QueryResult> {
    const askedAt = clock.now();
    const replacedBefore = replacementCount(scheduler);
    const held = activePlacements.takeHeld(scheduler);
    const response = network.request(
      scheduler,
      'placementWanted',
      toQuestion(request, held, askedAt),
      LATE_ANSWER_MS,
    ) as Promise<PlacementResponse>;
    const answer = await awaitAnswer(response, answerTimeoutMs(request));
    const isReplaced = replacementCount(scheduler) !== replacedBefore;
    if (answer.type !== 'answered' && held !== undefined) {
      // The question with the requests in progress may not have arrived.
      activePlacements.forgetScheduler(scheduler);
    }
    if (answer.type === 'late') {
      handleLate(scheduler, request, {askedAt, replacedBefore}, response);
      return LOST;
    }
    if (answer.type === 'failed') {
      activePlacements.withdraw(request, scheduler);
      if (!isReplaced) {
        selection.skip(scheduler, answer.error.message);
      }
      return isReplaced ? LOST_CONNECTION : LOST;
    }
    if (!isReplaced) {
      return answer.response;
    }
    // The scheduler may have dropped the request with the connection.
    activePlacements.forgetScheduler(scheduler);
    if (answer.response.type === 'queued') {
      activePlacements.withdraw(request, scheduler);
      return LOST_CONNECTION;
    }
    return answer.response;
  }

  function askSelf(
    request: ScheduledRequest,
    pending: PendingDecision,
  ): PlacementResponse {
    const {service, version} = request;
    return (
      host.request(self, service, version, request, pending.resolve) ?? {
        type: 'unknown',
        isContended: false,
      }
    );
  }

  /** Waits for the decision on a queued request. */
  async function awaitDecision(
    decision: Promise<QueryResult>,
    pending: PendingDecision,
    decidedWithinMs: number,
    signal: AbortSignal,
  ): Promise<QueryResult> {
    const onAbort = () => pending.resolve(LOST);
    const timer = clock.after(decidedWithinMs + DECISION_MARGIN_MS, onAbort);
    signal.addEventListener('abort', onAbort, {once: true});
    if (signal.aborted) {
      onAbort();
    }
    try {
      return await decision;
    } finally {
      timer.dispose();
      signal.removeEventListener('abort', onAbort);
    }
  }

  async function askWithDecision(
    scheduler: string,
    request: ScheduledRequest,
    pending: PendingDecision,
    decision: Promise<QueryResult>,
    signal: AbortSignal,
  ): Promise<QueryResult> {
    const response =
      scheduler === self
        ? askSelf(request, pending)
        : await askPeer(scheduler, request);
    if (response.type === 'lost' || response.type === 'unknown') {
      return response.type === 'lost' ? response : LOST;
    }
    selection.recordAnswer(request.service, scheduler);
    if ('isContended' in response && response.isContended) {
      options.onDidLearnContention(request.service);
    }
    if (response.type !== 'queued') {
      return response;
    }
    const result = await awaitDecision(
      decision,
      pending,
      response.decidedWithinMs,
      signal,
    );
    if (result.type === 'lost') {
      activePlacements.withdraw(request, scheduler);
    }
    return result;
  }

  disposables.add(
    network.addHandler('placementDecided', (peer, decided) => {
      const pending = pendingDecisions.get(decided.id);
      if (pending?.scheduler === peer) {
        pending.resolve(decided.result);
        return;
      }
      // The request does not wait any more, so its slot is free again.
      const {service, version, id} = decided;
      network.send(peer, 'placementEnded', {
        service,
        version,
        id,
        outcome: 'cancelled',
        tookMs: 0,
      });
    }),
  );
  disposables.add(
    network.onDidChangePeer((peer, isOpen) => {
      if (!isOpen) {
        activePlacements.forgetScheduler(peer);
        loseDecisions(LOST, ({scheduler}) => scheduler === peer);
      }
    }),
  );
  disposables.add(
    network.onDidReplaceConnection(peer => {
      replacementCounts.set(peer, replacementCount(peer) + 1);
      activePlacements.forgetScheduler(peer);
      loseDecisions(LOST_CONNECTION, ({scheduler}) => scheduler === peer);
    }),
  );
  return {
    get pendingCount() {
      return pendingDecisions.size;
    },
    async ask(scheduler, request, signal) {
      const {id, service} = request;
      let resolve!: PendingDecision['resolve'];
      const decision = new Promise<QueryResult>(
        callback => (resolve = callback),
      );
      const pending = {scheduler, service, resolve};
      pendingDecisions.set(id, pending);
      try {
        return await askWithDecision(
          scheduler,
          request,
          pending,
          decision,
          signal,
        );
      } finally {
        pendingDecisions.delete(id);
      }
    },
    dispose: () => disposables.dispose(),
  };
}

function toQuestion(
  request: ScheduledRequest,
  held: Messages['placementWanted']['held'],
  now: number,
): Messages['placementWanted'] {
  const {targetAt, deadlineAt, endsAt, unasked, ...fields} = request;
  return {
    ...fields,
    targetMs: targetAt - now,
    remainingMs: deadlineAt - now,
    ...(endsAt !== undefined && endsAt > deadlineAt && {endsMs: endsAt - now}),
    ...(unasked !== undefined &&
      unasked.length > 0 && {
        unasked: unasked.map(({fingerprint, returnAt}) => ({
          fingerprint,
          returnMs: returnAt - now,
        })),
      }),
    ...(held && {held}),
  };
}
