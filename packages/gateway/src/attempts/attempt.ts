/** A single attempt of a request at one endpoint. */
import {
  createDisposableStore,
  isFinalStatus,
  ServingError,
  type Clock,
  type Disposable,
  type ResponseFraming,
} from '@skylarkfield/base';
import type {CallFormat, ResponseHead, ResponseHeaders} from '../contracts.js';
import type {RaceEntry, RivalOrder} from './attemptRace.js';
import type {
  AttemptResult,
  ConnectionLoss,
  EventSink,
  StreamHead,
} from './attemptResult.js';
import {
  abortReason,
  interruptedError,
  protocolViolationError,
  excessErrors,
  oversizedError,
  supersededError,
  unreachableError,
  notSentError,
  cancelledBeforeSendError,
} from './attemptErrors.js';
import {isServerError, resultOfLostConnection} from './attemptOutcome.js';
import {createBodyBuffer} from './bodyBuffer.js';
import {MAX_EVENT_BYTES} from './eventFramer.js';
import {createStallTimer, type Stall} from './stallTimer.js';
import {createStreamDelivery, type StreamDelivery} from './streamDelivery.js';
import type {ConnectionClass, UpstreamRequest, Upstreams} from './upstream.js';

/** An event without a value. */
type Occurrence = (listener: () => void) => Disposable;

export interface AttemptOptions {
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly attemptId: string;
  readonly upstreams: Upstreams;
  /** Connections that the attempt may use; shared ones if absent. */
  readonly connectionClass?: ConnectionClass;
  readonly format: CallFormat;
  readonly clock: Clock;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /**
   * Receives the events of a stream; undefined if the route is not streaming.
   */
  readonly sink: EventSink | undefined;
  /** The attempt's part in the race of its request. */
  readonly race: Omit<RaceEntry, 'isSuperseded'>;
  /**
   * Time without received data after which the attempt has stalled, in
   * milliseconds; undefined if it never does.
   */
  readonly stallTimeoutMs: number | undefined;
  /**
   * Whether the endpoint was requested to stop the request, so that a closed
   * connection does not mean that the response is complete.
   */
  isStopRequested(): boolean;
  /**
   * Returns whether the response of the endpoint, whose end only the close of its
   * connection marks, is complete. The signal is aborted once the attempt has
   * ended. Must not reject.
   */
  confirmEnd(signal: AbortSignal): Promise<boolean>;
  /** Fires when the endpoint can no longer be reached. */
  readonly onDidLosePath?: Occurrence;
  /** Fires when the endpoint stops accepting requests. */
  readonly onDidStopAccepting?: Occurrence;
  /**
   * Called repeatedly while the attempt has stalled, and when the paths of this
   * entry are lost. The attempt goes on until another one responds.
   */
  onDidStall(stall: Stall): void;
  /**
   * Called whenever bytes from the endpoint are read; `mayHaveWaited` if they may
   * have arrived long before, since the caller has read too slowly.
   */
  onDidReceive(mayHaveWaited: boolean): void;
  /** Called with the response head of this attempt, whatever its status. */
  onDidRespond(head: ResponseHead): void;
  /**
   * Called once, when the response has begun: with the head of a plain
   * response, or with the first event of a stream.
   */
  onDidBegin(head: ResponseHead): void;
}

/** Bounds of the success statuses, 200 to 299, which a stream requires. */
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

/**
 * Runs one attempt.
 *
 * A response is accepted only if it carries this attempt's id: an endpoint may
 * send a second response to an earlier request on the same connection, which
 * would leak another caller's data.
 *
 * @example
 * const result = await runAttempt({address: '10.0.0.7:8000', request,
 *   attemptId, ...rest});
 */
export function runAttempt(options: AttemptOptions): Promise<AttemptResult> {
  return new Promise(resolve => {
    const {clock, format, signal, sink, race, stallTimeoutMs} = options;
    const body = createBodyBuffer(options.upstreams.bodyMemory);
    let delivery: StreamDelivery | undefined;
    let responseHead: StreamHead | undefined;
    const confirmation = new AbortController();
    let head: ResponseHead | undefined;
    let isSettled = false;
    let hasPaused = false;
    const subscriptions = createDisposableStore();
    const stallTimer = createStallTimer({
      clock,
      timeoutMs: stallTimeoutMs,
      onDidStall: options.onDidStall,
    });

    function recordReceived(): void {
      stallTimer.recordActivity();
      options.onDidReceive(hasPaused);
    }

    function settle(result: AttemptResult): void {
      if (isSettled) {
        return;
      }
      isSettled = true;
      body.dispose();
      confirmation.abort();
      stallTimer.dispose();
      subscriptions.dispose();
      signal.removeEventListener('abort', onAbort);
      resolve(result);
    }

    function abort(error: ServingError, loss?: ConnectionLoss): void {
      exchange.abort();
      settle({type: 'failed', error, ...(loss && {loss})});
    }

    function onAbort(): void {
      const reason = abortReason(signal);
      if (exchange.hasStarted()) {
        // The stop of this process tells nothing about the endpoint.
        abort(reason, reason.kind === 'leaving' ? undefined : 'silent');
        return;
      }
      abort(notSentError(reason));
    }

    function onDidLosePath(): void {
      if (!exchange.hasStarted()) {
        abort(unreachableError());
        return;
      }
      options.onDidStall({silentMs: 0, timeoutMs: 0});
    }

    /**
     * Ends the attempt, since another one responds. If that one started later,
     * this endpoint has failed to respond in its time.
     */
    function onDidSupersede(rival: RivalOrder): void {
      if (rival === 'later' && stallTimer.isStalled()) {
        abort(
          interruptedError(`no data received for ${stallTimeoutMs} ms`),
          'silent',
        );
        return;
      }
      const error = supersededError();
      abort(exchange.hasStarted() ? error : notSentError(error));
    }

    function subscribe(event: Occurrence | undefined, listener: () => void) {
      if (event !== undefined) {
        subscriptions.add(event(listener));
      }
    }

    function onDidStopAccepting(): void {
      if (!exchange.hasStarted()) {
        exchange.abort();
        settle({type: 'withdrawn'});
      }
    }

    function reportBegin(): void {
      if (head !== undefined) {
        options.onDidBegin(head);
      }
    }

    function onDidRespond(status: number, headers: ResponseHeaders): void {
      recordReceived();
      head = format.parseResponseHead(headers, status);
      responseHead = {status, headers};
      if (!isFinalStatus(status)) {
        abort(protocolViolationError(`the response has status ${status}`));
        return;
      }
      if (head.attemptId !== options.attemptId) {
        abort(
          protocolViolationError('the response has the id of another attempt'),
        );
        return;
      }
      if (headers['content-encoding'] !== undefined) {
        abort(protocolViolationError('the response has a content encoding'));
        return;
      }
      const isSuccess =
        status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
      if (isSuccess && !head.isSigned) {
        abort(protocolViolationError('the response is not signed'));
        return;
      }
      options.onDidRespond(head);
      if (sink !== undefined && isSuccess) {
        delivery = createStreamDelivery({
          head: responseHead,
          sink,
          race,
          onDidBegin: reportBegin,
          onDidFill: () => pauseUntilDrained(sink),
        });
      } else if (!head.isNotRun) {
        reportBegin();
      }
    }

    function pauseUntilDrained({whenDrained}: EventSink): void {
      hasPaused = true;
      exchange.pause();
      stallTimer.pause();
      whenDrained(() => {
        stallTimer.resume();
        exchange.resume();
      });
    }

    function onDidReceive(chunk: Buffer): void {
      recordReceived();
      if (delivery === undefined) {
        const excess = body.push(chunk);
        if (excess !== undefined) {
          abort(excessErrors[excess]());
        }
        return;
      }
      delivery.receive(chunk);
      if (delivery.bufferedBytes() > MAX_EVENT_BYTES) {
        abort(oversizedError('event', MAX_EVENT_BYTES));
      }
    }

    function onDidEnd(framing: ResponseFraming): void {
      if (framing === 'close' && options.isStopRequested()) {
        abort(interruptedError('the request was stopped'));
        return;
      }
      if (responseHead === undefined || head === undefined) {
        abort(interruptedError('the response has no head'), 'closed');
        return;
      }
      if (head.isNotRun) {
        settle({type: 'declined', status: responseHead.status});
        return;
      }
      const streamBreak = delivery?.findBreak(framing);
      if (streamBreak !== undefined) {
        settle(streamBreak);
        return;
      }
      if (framing === 'close') {
        void confirmAndComplete(responseHead);
        return;
      }
      complete(responseHead, framing);
    }

    /** Completes a response unless its end may be that of its endpoint. */
    async function confirmAndComplete(responseHead: StreamHead): Promise<void> {
      const isConfirmed = await options.confirmEnd(confirmation.signal);
      if (isSettled) {
        return;
      }
      if (!isConfirmed) {
        abort(
          interruptedError(
            'the connection was closed, and no process listens at the address',
          ),
          'closed',
        );
        return;
      }
      complete(responseHead, 'close');
    }

    function complete(
      {status, headers}: StreamHead,
      framing: ResponseFraming,
    ): void {
      if (delivery !== undefined) {
        settle(delivery.end(framing));
        return;
      }
      if (!isServerError(status) && sink?.hasBegun() !== true) {
        race.lead();
      }
      settle({
        type: 'answered',
        status,
        headers,
        body: body.bytes(),
        end: {framing, remainderBytes: 0},
      });
    }

    if (signal.aborted) {
      settle({type: 'failed', error: cancelledBeforeSendError()});
      return;
    }
    signal.addEventListener('abort', onAbort, {once: true});
    const exchange = options.upstreams.send(
      options.address,
      options.request,
      {
        onDidRespond,
        onDidReceive,
        onDidEnd,
        onDidFail: error => settle(resultOfLostConnection(error)),
      },
      options.connectionClass,
    );
    if (!isSettled) {
      subscriptions.add(race.onDidSupersede(onDidSupersede));
      subscribe(options.onDidLosePath, onDidLosePath);
      subscribe(options.onDidStopAccepting, onDidStopAccepting);
    }
  });
}
