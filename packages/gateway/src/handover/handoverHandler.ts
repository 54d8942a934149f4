/** Runs requests that entries hand over because they cannot reach endpoints. */
import type {IncomingMessage} from 'node:http';
import {
  discardBody,
  ServingError,
  toServingError,
  type Clock,
  type DrainGuard,
  type InFlightCounter,
  type Logger,
  type ReadBounds,
} from '@skylarkfield/base';
import {
  decodeFrame,
  type Messages,
  type PeerRequestHandler,
} from '@skylarkfield/protocol';
import {
  requestFingerprint,
  type Departures,
  type EndpointReach,
} from '@skylarkfield/routing';
import {promptKeys} from '@skylarkfield/traffic';
import {unavailableError} from '../attempts/attemptOutcome.js';
import {leavesBodyUnread, readBody} from '../callers/callerBody.js';
import type {RequestBodies} from '../callers/requestBodies.js';
import {watchDisconnect, whenSent} from '../callers/callerPresence.js';
import {createCallerReply, type CallerReply} from '../callers/callerReply.js';
import type {CallFormat} from '../contracts.js';
import {suspectPartsOf} from '../crashes/crashGuard.js';
import {createDeadline} from '../callers/deadline.js';
import {acceptsDepartures, encodeDepartures} from './departureHeader.js';
import type {
  ForwardedCall,
  ForwardingResult,
} from '../forwarding/forwardedCall.js';
import type {Forwarding} from '../forwarding/forwarding.js';
import {memoize} from '../memoize.js';
import {endFields, lossFields} from '../callers/requestLog.js';

type Handover = Messages['handover'];

/** Bounds of a handed-over request, and of the rest of one that is rejected. */
const HANDOVER_BOUNDS: ReadBounds = {
  maxBytes: 16 * 1024 * 1024,
  timeoutMs: 10_000,
};

/**
 * Maximum number of handed-over requests in progress per core. Bounds memory
 * and connections; the load on endpoints is bounded by the admission of the
 * entries that hand over.
 */
const MAX_HANDOVERS_PER_CORE = 400;

/**
 * Creates the handler of handed-over requests. They were admitted and counted
 * against quotas by the entry that hands them over, and are not handed on.
 *
 * @example
 * network.setRequestHandler(createHandoverHandler({forwarding, reach, ...rest}));
 */
export function createHandoverHandler(options: {
  readonly forwarding: Forwarding;
  readonly reach: Pick<EndpointReach, 'isLost'>;
  readonly departures: Pick<Departures, 'report'>;
  readonly format: CallFormat;
  readonly inFlight: InFlightCounter;
  readonly requestBodies: RequestBodies;
  /** Processor cores of this entry. */
  readonly cores: number;
  readonly clock: Clock;
  readonly log: Logger;
  readonly drainGuard: Pick<DrainGuard, 'onDidStop'>;
  /** Whether this process accepts requests. */
  isServing(): boolean;
  /** Called when a request has ended, with its result. */
  onDidConclude(call: ForwardedCall, result: ForwardingResult): void;
}): PeerRequestHandler {
  const {forwarding, reach, format, inFlight, clock, log} = options;
  /** Format of responses to entries that take departures. */
  const formatWithDepartures: CallFormat = {
    ...format,
    buildCallerHeaders: headers => ({
      ...format.buildCallerHeaders(headers),
      ...encodeDepartures(options.departures.report()),
    }),
  };
  const maxHandovers = options.cores * MAX_HANDOVERS_PER_CORE;
  let handoverCount = 0;

  function rejectIfUnable({service}: Handover): void {
    if (!options.isServing()) {
      throw new ServingError('leaving', 'this entry is stopping');
    }
    if (reach.isLost(service)) {
      throw unavailableError(service, 'this entry does not reach it either');
    }
    if (handoverCount > maxHandovers) {
      throw new ServingError(
        'overloaded',
        `${maxHandovers} requests were handed over to this entry`,
        {run: 'not-run'},
      );
    }
  }

  async function run(
    request: IncomingMessage,
    reply: CallerReply,
    callerSignal: AbortSignal,
  ): Promise<void> {
    const startedAt = clock.now();
    const body = await readBody(
      request,
      HANDOVER_BOUNDS,
      options.requestBodies.memory,
      clock,
      callerSignal,
    );
    try {
      await runHandover(request, body.bytes, reply, callerSignal, startedAt);
    } finally {
      body.dispose();
    }
  }

  async function runHandover(
    request: IncomingMessage,
    bytes: Buffer | undefined,
    reply: CallerReply,
    callerSignal: AbortSignal,
    startedAt: number,
  ): Promise<void> {
    const handover = parseHandover(bytes);
    rejectIfUnable(handover);
    const deadlineAt = clock.now() + handover.remainingMs;
    const deadline = createDeadline(
      clock,
      options.drainGuard,
      deadlineAt,
      callerSignal,
    );
    const sender = String(request.headers['entry-id'] ?? '');
    const call = toCall(handover, sender, deadlineAt, deadline.signal);
    try {
      const result = await forwarding.forward(call, reply);
      options.onDidConclude(call, result);
      logResult(call, result, clock.now() - startedAt);
    } finally {
      deadline.dispose();
    }
  }

  function logResult(
    {attemptId, head, service, handover}: ForwardedCall,
    {status, error, endpoints, fingerprint, responseEnd}: ForwardingResult,
    tookMs: number,
  ): void {
    log.info(
      {
        request: attemptId,
        sender: handover?.sender,
        service,
        endpoints,
        status,
        ...(error && {kind: error.kind, run: error.run, why: error.message}),
        ...lossFields(fingerprint, head),
        ...endFields(responseEnd),
        tookMs: Math.round(tookMs),
      },
      'handed-over request',
    );
  }

  return (request, response) => {
    const callerSignal = watchDisconnect(response);
    const reply = createCallerReply({
      response,
      format: acceptsDepartures(request.headers)
        ? formatWithDepartures
        : format,
      isClosing: () => !options.isServing(),
    });
    const sent = whenSent(response);
    inFlight.begin();
    handoverCount += 1;
    run(request, reply, callerSignal)
      .catch(error => {
        const servingError = toServingError(error);
        const {kind, message} = servingError;
        log.info({kind, message}, 'handed-over request rejected');
        reply.sendError(servingError);
        if (leavesBodyUnread(servingError)) {
          options.requestBodies.lingering.end(request);
          return;
        }
        discardBody(request, HANDOVER_BOUNDS, clock);
      })
      .finally(() => {
        handoverCount -= 1;
        void sent.then(inFlight.end);
      });
  };
}

function parseHandover(bytes: Buffer | undefined): Handover {
  const frame = decodeFrame(bytes ?? Buffer.alloc(0));
  const handover = frame.body as Partial<Handover> | undefined;
  const isValid =
    frame.type === 'handover' &&
    typeof handover?.attemptId === 'string' &&
    typeof handover.service === 'string' &&
    typeof handover.remainingMs === 'number' &&
    handover.route !== undefined;
  if (!isValid) {
    throw new ServingError('protocol-violation', 'invalid handover', {
      run: 'not-run',
    });
  }
  return handover as Handover;
}

/** Returns the bytes as a buffer, without a copy. */
function viewOf({buffer, byteOffset, byteLength}: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}

function toCall(
  handover: Handover,
  sender: string,
  deadlineAt: number,
  signal: AbortSignal,
): ForwardedCall {
  const {customer, authority, method, path, demand, excludedEndpoints} =
    handover;
  const body = handover.body && viewOf(handover.body);
  return {
    head: {
      attemptId: handover.attemptId,
      authority,
      key: undefined,
      timeoutMs: handover.remainingMs,
      demand,
      lastEventId: handover.lastEventId,
    },
    attemptId: handover.attemptId,
    // The sender decides on further runs, within the attempts of the route.
    route: {...handover.route, attempts: 1},
    service: handover.service,
    version: handover.version,
    customer,
    regions: handover.regions,
    urgency: handover.urgency,
    method,
    path,
    rawHeaders: handover.rawHeaders,
    body,
    fingerprint: memoize(() =>
      requestFingerprint({customer, authority, method, path, body}),
    ),
    suspectParts: suspectPartsOf(demand),
    promptKeys: promptKeys(demand?.parts ?? []),
    deadlineAt,
    signal,
    handover: {
      sender,
      excludedEndpoints,
      isCounted: handover.isCounted,
      hasRun: handover.hasRun ?? false,
    },
  };
}
