/**
 * Hands requests over to other entries, which run them at endpoints that this
 * entry cannot reach.
 *
 * Each handed-over request is an HTTP exchange of its own on the peer's inner
 * port: backpressure, the end of a stream, and the cancellation of a request
 * concern only that request, unlike on the connection that carries messages.
 */
import {
  bodyMemoryError,
  errorResponses,
  ServingError,
  type BodyAllocation,
  type Clock,
  type ErrorKind,
  type Random,
  type RequestBodyMemory,
} from '@skylarkfield/base';
import type {Member} from '@skylarkfield/members';
import type {Departures} from '@skylarkfield/routing';
import {
  authorizationHeaders,
  encodeFrame,
  HANDOVER_PATH,
  type Messages,
} from '@skylarkfield/protocol';
import {runAttempt} from '../attempts/attempt.js';
import type {AttemptResult, EventSink} from '../attempts/attemptResult.js';
import {mayHaveRun} from '../attempts/attemptOutcome.js';
import type {CallerReply} from '../callers/callerReply.js';
import type {CallFormat, ResponseHeaders} from '../contracts.js';
import {
  ACCEPT_DEPARTURES,
  decodeDepartures,
  withoutDepartures,
} from './departureHeader.js';
import type {ForwardedCall} from '../forwarding/forwardedCall.js';
import type {RacingAttempt} from '../attempts/hedging.js';
import {choosePeer} from './peerChoice.js';
import type {Progress, RetryRules} from '../forwarding/retryRules.js';
import type {Upstreams} from '../attempts/upstream.js';

export interface Handovers {
  /** Returns an entry that may take the call; undefined if there is none. */
  choosePeer(call: ForwardedCall, progress: Progress): Member | undefined;
  /** Hands the call over, and passes on the response of its endpoint. */
  run(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    peer: Member,
    racingAttempt: RacingAttempt,
  ): Promise<AttemptResult>;
  /**
   * Whether the entry responds, so that a call which it has taken over ends at its
   * endpoint when this entry gives the call up.
   */
  canEnd(peer: Member): boolean;
  /** Whether the call may be handed over to a further entry after the error. */
  mayHandOn(progress: Progress, error: ServingError): boolean;
  dump(): unknown;
}

/** Maximum number of entries that a call is handed over to. */
const MAX_PEERS = 3;

/**
 * Time for which an entry gets no requests after it rejected one because it is
 * cut off or stopping, or did not accept a connection, in milliseconds.
 */
const AVOIDANCE_MS = 1_000;

/** Errors after which no endpoint has received the call. */
const UNSENT_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'leaving',
  'not-ready',
  'endpoint-unavailable',
]);

/**
 * Creates the handovers of one entry.
 *
 * @example
 * const peer = handovers.choosePeer(call, progress);
 * const result = peer && await handovers.run(call, reply, progress, peer);
 */
export function createHandovers(options: {
  /** Id of this entry. */
  readonly self: string;
  readonly failureDomain: string;
  /** Returns the entries that accept new work. */
  liveMembers(): readonly Member[];
  /** Connections to the inner ports of the other entries. */
  readonly peerUpstreams: Upstreams;
  /** Secret shared by all entries. */
  readonly key: string;
  readonly retryRules: RetryRules;
  readonly bodyMemory: RequestBodyMemory;
  readonly departures: Pick<Departures, 'mergeReport'>;
  readonly format: CallFormat;
  readonly clock: Clock;
  readonly random: Random;
}): Handovers {
  const {self, peerUpstreams, format, clock, random} = options;
  const requestsByPeer = new Map<string, number>();
  const avoidedUntil = new Map<string, number>();
  let handoverCount = 0;

  function ownRequestsAt(id: string): number {
    return requestsByPeer.get(id) ?? 0;
  }

  function isAvoided(id: string): boolean {
    return clock.now() < (avoidedUntil.get(id) ?? -Infinity);
  }

  function recordResult(
    progress: Progress,
    peer: Member,
    result: AttemptResult,
  ): void {
    const isNotTaken = result.type === 'failed' && isUnsent(result.error);
    progress.receivedCount += isNotTaken ? 0 : 1;
    if (mayHaveRun(result)) {
      progress.runCount += 1;
      // The peer has counted the call.
      progress.isCounted = true;
      return;
    }
    if (isNotTaken) {
      avoidedUntil.set(peer.id, clock.now() + AVOIDANCE_MS);
    }
  }

  async function send(
    call: ForwardedCall,
    reply: CallerReply,
    progress: Progress,
    peer: Member,
    racingAttempt: RacingAttempt,
  ): Promise<AttemptResult> {
    const body = encodeFrame({
      type: 'handover',
      requestId: 0,
      body: toMessage(call, reply, progress, clock.now(), format),
    });
    const isStreaming = call.route.kind === 'streaming';
    /** Whether the response is the peer's own error, not an endpoint's. */
    let isPeerError = false;
    const result = await runAttempt({
      address: new URL(peer.innerUrl).host,
      request: {
        method: 'POST',
        path: HANDOVER_PATH,
        headers: Object.entries({
          ...authorizationHeaders(options.key),
          'content-type': 'application/msgpack',
          'entry-id': self,
          ...ACCEPT_DEPARTURES,
        }).flat(),
        body,
      },
      attemptId: call.attemptId,
      upstreams: peerUpstreams,
      format: {
        ...format,
        parseResponseHead(headers, status) {
          const head = format.parseResponseHead(headers, status);
          isPeerError = head.attemptId === undefined;
          options.departures.mergeReport(decodeDepartures(headers));
          return isPeerError
            ? {...head, attemptId: call.attemptId, isNotRun: false}
            : head;
        },
      },
      clock,
      signal: call.signal,
      sink: isStreaming ? callerSink(reply) : undefined,
      stallTimeoutMs: options.retryRules.stallTimeoutMs(call, progress),
      ...racingAttempt,
      isStopRequested: () => false,
      // An entry marks each end; without a mark, the entry has broken off.
      confirmEnd: () => Promise.resolve(false),
      onDidReceive() {},
      onDidRespond() {},
      onDidBegin() {
        if (!isPeerError) {
          progress.firstByteMs ??= clock.now() - progress.startedAt;
        }
      },
    });
    return isPeerError
      ? toPeerFailure(peer.id, result)
      : withoutInnerHeaders(call, result);
  }

  /**
   * Takes memory for the message, which has a copy of the body; undefined if there
   * is none.
   */
  function allocateMessage({body}: ForwardedCall): BodyAllocation | undefined {
    const allocation = options.bodyMemory.allocate(() => {});
    if (!allocation.tryGrow(body?.length ?? 0)) {
      return undefined;
    }
    allocation.complete();
    return allocation;
  }

  return {
    choosePeer(call, progress) {
      if (progress.peers.length >= MAX_PEERS) {
        return undefined;
      }
      const liveMembers = options.liveMembers();
      const excluded = new Set([self, ...progress.peers]);
      liveMembers
        .filter(({id}) => isAvoided(id))
        .forEach(({id}) => excluded.add(id));
      return choosePeer(
        liveMembers,
        options.failureDomain,
        {service: call.service, regions: call.regions, excluded},
        {random, ownRequestsAt},
      );
    },
    async run(call, reply, progress, peer, racingAttempt) {
      progress.peers.push(peer.id);
      progress.firstSendAt ??= clock.now();
      const message = allocateMessage(call);
      if (message === undefined) {
        return {type: 'failed', error: bodyMemoryError()};
      }
      handoverCount += 1;
      requestsByPeer.set(peer.id, ownRequestsAt(peer.id) + 1);
      try {
        const result = await send(call, reply, progress, peer, racingAttempt);
        recordResult(progress, peer, result);
        return result;
      } finally {
        message.dispose();
        const remaining = ownRequestsAt(peer.id) - 1;
        if (remaining === 0) {
          requestsByPeer.delete(peer.id);
        } else {
          requestsByPeer.set(peer.id, remaining);
        }
      }
    },
    canEnd: peer => options.liveMembers().some(({id}) => id === peer.id),
    mayHandOn: ({peers}, error) => peers.length < MAX_PEERS && isUnsent(error),
    dump: () => ({
      total: handoverCount,
      inFlight: Object.fromEntries(requestsByPeer),
      avoided: [...avoidedUntil.keys()].filter(isAvoided),
    }),
  };
}

/** Whether no endpoint has received the call. */
function isUnsent({run, kind}: ServingError): boolean {
  return run === 'not-run' && UNSENT_ERRORS.has(kind);
}

function toMessage(
  call: ForwardedCall,
  reply: CallerReply,
  progress: Progress,
  now: number,
  format: CallFormat,
): Messages['handover'] {
  const {head, customer, regions, urgency, body} = call;
  const lastEventId = reply.lastEventId() ?? head.lastEventId;
  return {
    attemptId: call.attemptId,
    route: call.route,
    service: call.service,
    version: call.version,
    ...(customer !== undefined && {customer}),
    ...(regions !== undefined && {regions}),
    ...(urgency !== undefined && {urgency}),
    authority: head.authority,
    method: call.method,
    path: call.path,
    rawHeaders: format.selectForwardedHeaders(call.rawHeaders),
    ...(body !== undefined && {body}),
    ...(head.demand && {demand: head.demand}),
    ...(lastEventId !== undefined && {lastEventId: String(lastEventId)}),
    excludedEndpoints: [...progress.excludedEndpoints],
    isCounted: progress.isCounted,
    ...(progress.runCount > 0 && {hasRun: true}),
    remainingMs: call.deadlineAt - now,
  };
}

/** Returns the sink of a reply that gets a response of another entry. */
function callerSink({sink}: CallerReply): EventSink {
  return {
    ...sink,
    begin: head =>
      sink.begin({...head, headers: withoutPeerHeaders(head.headers)}),
  };
}

/**
 * Removes the headers that concern only the exchange between the entries. The
 * response to a handed-over HEAD has the length of its empty body there.
 */
function withoutInnerHeaders(
  {method}: ForwardedCall,
  result: AttemptResult,
): AttemptResult {
  if (result.type !== 'answered') {
    return result;
  }
  const {'content-length': length, ...headers} = withoutPeerHeaders(
    result.headers,
  );
  return {
    ...result,
    headers:
      method === 'HEAD' ? headers : {...headers, 'content-length': length},
  };
}

function withoutPeerHeaders(headers: ResponseHeaders): ResponseHeaders {
  return withoutDepartures(headers);
}

/** Converts a response that is the peer's own to the error that it carries. */
function toPeerFailure(peer: string, result: AttemptResult): AttemptResult {
  if (result.type !== 'answered') {
    return result;
  }
  return {
    type: 'failed',
    error: parsePeerError(peer, result.body, result.headers['retry-after']),
  };
}

const MS_PER_SECOND = 1_000;

function parsePeerError(
  peer: string,
  body: Buffer,
  retryAfter: string | string[] | undefined,
): ServingError {
  const problem = parseProblem(body);
  const kind = String(problem['kind']);
  if (!Object.hasOwn(errorResponses, kind)) {
    return new ServingError('protocol-violation', `${peer} sent no problem`);
  }
  const retryAfterMs = Number(retryAfter) * MS_PER_SECOND;
  return new ServingError(kind as ErrorKind, String(problem['detail']), {
    // `not-run` is a guarantee, so it needs the peer's explicit statement.
    run: problem['run'] === 'not-run' ? 'not-run' : 'may-have-run',
    ...(Number.isFinite(retryAfterMs) && {retryAfterMs}),
  });
}

function parseProblem(body: Buffer): Record<string, unknown> {
  try {
    return Object(JSON.parse(body.toString())) as Record<string, unknown>;
  } catch {
    // Not a problem: the caller of this function reports it.
    return {};
  }
}
