/**
 * Circuit breaker for calls to the platform.
 *
 * While the platform is down, calls fail at once: callers that each waited for
 * a deadline would accumulate and use up memory and admission slots.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import {
  createEmitter,
  ServingError,
  toDisposable,
  type Clock,
  type Disposable,
  type Event,
  type Random,
} from '@skylarkfield/base';
import type {PlatformState} from './contracts.js';

/** Tracks the platform's availability by the outcome of calls to it. */
export interface CircuitBreaker extends Disposable {
  state(): PlatformState;
  /** Throws `platform-unavailable` while the platform is down. */
  throwIfDown(): void;
  /** Records that the platform responded, with a result or an error. */
  recordResponse(): void;
  /** Records a call that got no response or found the platform unavailable. */
  recordFailure(): void;
  readonly onDidChange: Event<PlatformState>;
}

/** Consecutive failures after which the platform counts as down. */
const FAILURE_THRESHOLD = 3;
const INITIAL_PROBE_DELAY_MS = 500;
const MAX_PROBE_DELAY_MS = 4000;

/**
 * Creates a circuit breaker. `probe` makes one cheap call and reports through
 * `recordResponse` or `recordFailure`.
 *
 * Probe delays are jittered by a factor of 0.5 to 1.5, so that entries that
 * detected an outage at the same time do not all reconnect at once.
 *
 * @example
 * const circuitBreaker = createCircuitBreaker({clock, random, probe: () => void readProbe()});
 */
export function createCircuitBreaker(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly probe: () => void;
}): CircuitBreaker {
  const {clock, random} = options;
  const changeEmitter = createEmitter<PlatformState>();
  const breakerMachine = createMachine({
    up: state(transition('failed', 'doubtful')),
    doubtful: state(
      transition('responded', 'up'),
      transition('thresholdReached', 'down'),
    ),
    down: state(transition('responded', 'up')),
  });
  let currentState: PlatformState = 'up';
  const interpreter = interpret(breakerMachine, () => {});
  let consecutiveFailures = 0;
  let probeCount = 0;
  let nextProbeAt = 0;
  let probeTimer: Disposable = toDisposable(() => {});

  function send(event: 'failed' | 'thresholdReached' | 'responded'): void {
    interpreter.send(event);
    const nextState = interpreter.machine.current as PlatformState;
    if (nextState === currentState) {
      return;
    }
    currentState = nextState;
    changeEmitter.fire(currentState);
  }

  function scheduleProbe(): void {
    const delayMs = Math.min(
      MAX_PROBE_DELAY_MS,
      INITIAL_PROBE_DELAY_MS * 2 ** probeCount,
    );
    const jitteredMs = delayMs * (0.5 + random.next());
    probeCount += 1;
    nextProbeAt = clock.now() + jitteredMs;
    probeTimer.dispose();
    probeTimer = clock.after(jitteredMs, options.probe);
  }

  return {
    state: () => currentState,
    throwIfDown() {
      if (currentState !== 'down') {
        return;
      }
      throw new ServingError('platform-unavailable', 'the platform is down', {
        retryAfterMs: Math.max(0, nextProbeAt - clock.now()),
      });
    },
    recordResponse() {
      consecutiveFailures = 0;
      probeCount = 0;
      probeTimer.dispose();
      send('responded');
    },
    recordFailure() {
      consecutiveFailures += 1;
      send('failed');
      if (consecutiveFailures >= FAILURE_THRESHOLD) {
        send('thresholdReached');
      }
      // A call in flight when the outage began must not postpone the probe.
      if (currentState === 'down' && clock.now() >= nextProbeAt) {
        scheduleProbe();
      }
    },
    onDidChange: changeEmitter.event,
    dispose() {
      probeTimer.dispose();
      changeEmitter.dispose();
    },
  };
}
