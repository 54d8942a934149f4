/** Asks the scheduler of a service where to send a request. */
import {
  createDisposableStore,
  toServingError,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import type {
  Messages,
  PeerNetwork,
  PlacementResponse,
  PlacementResult,
} from '@skylarkfield/protocol';
import {
  rankSchedulers,
  type PlacementOutcome,
  type ReportedLoad,
} from '@skylarkfield/scheduling';
import {DEFAULT_CORES} from '../callers/lookup.js';
import type {
  Placement,
  ScheduledRequest,
  SchedulerClient,
} from './schedulerContracts.js';
import type {SchedulerHost} from './schedulerHost.js';

/** Upper bound of the time to wait for an answer, in milliseconds. */
const MAX_ANSWER_MS = 60;

/** Fraction of the time until the latency target that a question may take. */
const ANSWER_FRACTION = 0.25;
const MIN_ANSWER_MS = 10;

/** Time for which an entry that has not answered is not asked, in ms. */
const SKIP_MS = 1_000;

/** Time for which a service counts as contended, in milliseconds. */
const CONTENDED_MS = 1_000;

/** Number of entries that are asked for one request. */
const MAX_ASKED = 2;

/** Time by which a decision may be later than announced, in milliseconds. */
const DECISION_MARGIN_MS = 50;

/** A request in progress, as told to schedulers. */
interface ActivePlacement {
  readonly request: ScheduledRequest;
  readonly endpoint: string;
  readonly placedAt: number;
  /** Entries that count the request. */
  readonly schedulers: Set<string>;
}

/** A request that waits for a decision. */
interface PendingDecision {
  readonly scheduler: string;
  resolve(result: PlacementResult | undefined): void;
}

/**
 * Creates the client of one entry.
 *
 * @example
 * const answer = await schedulerClient.place(request, callerSignal);
 */
export function createSchedulerClient(options: {
  readonly self: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly network: PeerNetwork;
  readonly host: Pick<SchedulerHost, 'request' | 'begin' | 'end'>;
  /** Returns the live entries; undefined while they are not known. */
  liveMembers(): readonly Member[] | undefined;
  onDidChangeMembers(listener: () => void): Disposable;
}): SchedulerClient {
  const {self, clock, log, network, host} = options;
  const disposables = createDisposableStore();
  const rankings = new Map<string, readonly string[]>();
  const skippedUntil = new Map<string, number>();
  const pendingDecisions = new Map<string, PendingDecision>();
  const activePlacements = new Map<string, ActivePlacement>();
  /** Entries that were told of the requests in progress. */
  const informedSchedulers = new Set<string>();
  const lastScheduler = new Map<string, string>();
  const contendedUntil = new Map<string, number>();
  const counts = {asked: 0, unanswered: 0, undecided: 0};

  function rank(service: string): readonly string[] {
    const existing = rankings.get(service);
    const members = options.liveMembers();
    if (existing !== undefined || members === undefined) {
      return existing ?? [];
    }
    const ranking = rankSchedulers(
      service,
      members.map(({id, cores = DEFAULT_CORES}) => ({id, cores})),
    );
    rankings.set(service, ranking);
    return ranking;
  }

  function schedulersOf(service: string): readonly string[] {
    const now = clock.now();
    return rank(service)
      .filter(id => (skippedUntil.get(id) ?? 0) <= now)
      .slice(0, MAX_ASKED);
  }

  function skip(scheduler: string, reason: string): void {
    counts.unanswered += 1;
    skippedUntil.set(scheduler, clock.now() + SKIP_MS);
    log.info({scheduler, reason, skippedMs: SKIP_MS}, 'scheduler skipped');
  }

  function recordScheduler(service: string, scheduler: string): void {
    const previous = lastScheduler.get(service);
    if (previous !== scheduler) {
      lastScheduler.set(service, scheduler);
      log.info({service, scheduler, previous}, 'scheduler changed');
    }
  }

  /** Returns the requests in progress for an entry that is asked first. */
  function takeHeld(scheduler: string): Messages['placementWanted']['held'] {
    if (informedSchedulers.has(scheduler)) {
      return undefined;
    }
    informedSchedulers.add(scheduler);
    const now = clock.now();
    return [...activePlacements.values()].map(placement => {
      const {request, endpoint, placedAt, schedulers} = placement;
      schedulers.add(scheduler);
      return {
        service: request.service,
        version: request.version,
        id: request.id,
        endpoint,
        route: request.route,
        urgency: request.urgency,
        ageMs: now - placedAt,
        remainingMs: request.deadlineAt - now,
      };
    });
  }

  function answerTimeoutMs({targetAt}: ScheduledRequest): number {
    const untilTargetMs = targetAt - clock.now();
    return Math.max(
      MIN_ANSWER_MS,
      Math.min(MAX_ANSWER_MS, untilTargetMs * ANSWER_FRACTION),
    );
  }

  function toQuestion(request: ScheduledRequest, scheduler: string) {
    const {targetAt, deadlineAt, ...fields} = request;
    const now = clock.now();
    const held = takeHeld(scheduler);
    return {
      ...fields,
      targetMs: targetAt - now,
      remainingMs: deadlineAt - now,
      ...(held && {held}),
    };
  }

  /** Asks a peer; undefined if it does not answer. */
  async function askPeer(
    scheduler: string,
    request: ScheduledRequest,
  ): Promise<PlacementResponse | undefined> {
    try {
      return (await network.request(
        scheduler,
        'placementWanted',
        toQuestion(request, scheduler),
        answerTimeoutMs(request),
      )) as PlacementResponse;
    } catch (error) {
      skip(scheduler, toServingError(error).message);
      // The question with the requests in progress may not have arrived.
      informedSchedulers.delete(scheduler);
      // It may have placed the request.
      tellEnd(scheduler, request, 'cancelled', undefined, 0);
      return undefined;
    }
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

  function tellEnd(
    scheduler: string,
    {service, version, id}: ScheduledRequest,
    outcome: PlacementOutcome,
    endpoint: string | undefined,
    tookMs: number,
    began?: Messages['placementEnded']['began'],
  ): void {
    const message = {
      service,
      version,
      id,
      outcome,
      tookMs,
      ...(endpoint !== undefined && {endpoint}),
      ...(began && {began}),
    };
    if (scheduler === self) {
      host.end(self, message);
      return;
    }
    network.send(scheduler, 'placementEnded', message);
  }

  function activate(
    request: ScheduledRequest,
    scheduler: string,
    endpoint: string,
  ): Placement {
    const key = keyOf(request);
    const placedAt = clock.now();
    const active = {
      request,
      endpoint,
      placedAt,
      schedulers: new Set([scheduler]),
    };
    activePlacements.set(key, active);
    let began: Messages['placementEnded']['began'];
    return {
      endpoint,
      scheduler,
      recordBegin(usedEndpoint, reportedLoad) {
        const {service, version, id, prompt} = request;
        began = {
          firstMs: clock.now() - placedAt,
          ...(reportedLoad && {load: toLoad(reportedLoad)}),
        };
        if (prompt === undefined) {
          // The response of a plain service ends soon, so one message tells both.
          return;
        }
        const message = {
          service,
          version,
          id,
          endpoint: usedEndpoint,
          ...began,
        };
        began = undefined;
        if (scheduler === self) {
          host.begin(self, message);
          return;
        }
        network.send(scheduler, 'placementBegan', message);
      },
      end(outcome, usedEndpoint) {
        if (activePlacements.get(key) === active) {
          activePlacements.delete(key);
        }
        const tookMs = clock.now() - placedAt;
        for (const informed of active.schedulers) {
          tellEnd(informed, request, outcome, usedEndpoint, tookMs, began);
        }
      },
    };
  }

  /** Waits for the decision on a queued request; undefined if it is lost. */
  function awaitDecision(
    request: ScheduledRequest,
    decision: Promise<PlacementResult | undefined>,
    pending: PendingDecision,
    decidedWithinMs: number,
    signal: AbortSignal,
  ): Promise<PlacementResult | undefined> {
    const timer = clock.after(decidedWithinMs + DECISION_MARGIN_MS, () =>
      pending.resolve(undefined),
    );
    const onAbort = () => pending.resolve(undefined);
    signal.addEventListener('abort', onAbort, {once: true});
    if (signal.aborted) {
      onAbort();
    }
    return decision.finally(() => {
      timer.dispose();
      signal.removeEventListener('abort', onAbort);
    });
  }

  async function askScheduler(
    scheduler: string,
    request: ScheduledRequest,
    signal: AbortSignal,
  ): Promise<PlacementResult | undefined> {
    const key = keyOf(request);
    let resolve!: PendingDecision['resolve'];
    const decision = new Promise<PlacementResult | undefined>(
      callback => (resolve = callback),
    );
    const pending = {scheduler, resolve};
    pendingDecisions.set(key, pending);
    counts.asked += 1;
    try {
      const response =
        scheduler === self
          ? askSelf(request, pending)
          : await askPeer(scheduler, request);
      if (response === undefined || response.type === 'unknown') {
        return undefined;
      }
      if (response.isContended) {
        contendedUntil.set(request.service, clock.now() + CONTENDED_MS);
      }
      if (response.type !== 'queued') {
        return response;
      }
      const result = await awaitDecision(
        request,
        decision,
        pending,
        response.decidedWithinMs,
        signal,
      );
      if (result === undefined) {
        tellEnd(scheduler, request, 'cancelled', undefined, 0);
      }
      return result;
    } finally {
      if (pendingDecisions.get(key) === pending) {
        pendingDecisions.delete(key);
      }
    }
  }

  disposables.add(options.onDidChangeMembers(() => rankings.clear()));
  disposables.add(
    network.addHandler('placementDecided', (peer, decided) => {
      const pending = pendingDecisions.get(keyOf(decided));
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
      if (isOpen) {
        return;
      }
      informedSchedulers.delete(peer);
      for (const pending of pendingDecisions.values()) {
        if (pending.scheduler === peer) {
          pending.resolve(undefined);
        }
      }
    }),
  );
  return {
    isContended: service => (contendedUntil.get(service) ?? 0) > clock.now(),
    async place(request, signal) {
      for (const scheduler of schedulersOf(request.service)) {
        if (clock.now() >= request.deadlineAt) {
          break;
        }
        const result = await askScheduler(scheduler, request, signal);
        if (signal.aborted) {
          if (result?.type === 'placed') {
            tellEnd(scheduler, request, 'cancelled', undefined, 0);
          }
          return {type: 'cancelled'};
        }
        if (result !== undefined) {
          recordScheduler(request.service, scheduler);
        }
        if (result?.type === 'placed') {
          const placement = activate(request, scheduler, result.endpoint);
          return {type: 'placed', placement};
        }
        if (result?.type === 'rejected') {
          return result;
        }
      }
      counts.undecided += 1;
      return {type: 'undecided'};
    },
    dump: () => ({
      ...counts,
      active: activePlacements.size,
      pending: pendingDecisions.size,
      schedulers: Object.fromEntries(lastScheduler),
    }),
    dispose: () => disposables.dispose(),
  };
}

function toLoad({running, waiting, slowness}: ReportedLoad): ReportedLoad {
  return {running, waiting, ...(slowness !== undefined && {slowness})};
}

function keyOf({
  service,
  version,
  id,
}: Pick<ScheduledRequest, 'service' | 'id'> & {
  readonly version: string;
}): string {
  return `${service} ${version} ${id}`;
}
