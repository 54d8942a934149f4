/**
 * Whether the platform answers, as a state machine.
 *
 * While it is down, calls fail at once: callers that would otherwise each wait
 * for a deadline pile up and hold memory and admission slots.
 */
import {createMachine, interpret, state, transition} from 'robot3';
import {
  emitter,
  ServingError,
  toDisposable,
  type Clock,
  type Disposable,
  type Event,
  type Random,
} from '@skylarkfield/base';
import type {PlatformState} from './contracts.js';

/** Whether the platform answers, judged by the calls made to it. */
export interface Outage extends Disposable {
  state(): PlatformState;
  /** Throws `platform-unavailable` while the platform is down. */
  admit(): void;
  noteAnswer(): void;
  noteFailure(): void;
  readonly onDidChange: Event<PlatformState>;
}

/** Failures in a row after which the platform counts as down. */
const FAILURES_TO_DOWN = 3;
const FIRST_PROBE_MS = 500;
const LONGEST_PROBE_MS = 4000;

/**
 * Makes the machine. `probe` makes one cheap call and reports through
 * `noteAnswer` or `noteFailure`.
 *
 * Probes are jittered over half to one and a half times their delay, so that
 * entries that saw the same outage begin do not all come back together.
 *
 * @example
 * const outage = createOutage({clock, random, probe: () => void readProbe()});
 */
export function createOutage(options: {
  readonly clock: Clock;
  readonly random: Random;
  readonly probe: () => void;
}): Outage {
  const {clock, random} = options;
  const changed = emitter<PlatformState>();
  const machine = createMachine({
    up: state(transition('failed', 'doubtful')),
    doubtful: state(
      transition('answered', 'up'),
      transition('failedOften', 'down'),
    ),
    down: state(transition('answered', 'up')),
  });
  let current: PlatformState = 'up';
  const service = interpret(machine, () => {});
  let failures = 0;
  let probes = 0;
  let probeAt = 0;
  let timer: Disposable = toDisposable(() => {});

  function send(event: 'failed' | 'failedOften' | 'answered'): void {
    service.send(event);
    const next = service.machine.current as PlatformState;
    if (next === current) {
      return;
    }
    current = next;
    changed.fire(current);
  }

  function planProbe(): void {
    const delayMs = Math.min(LONGEST_PROBE_MS, FIRST_PROBE_MS * 2 ** probes);
    const jitteredMs = delayMs * (0.5 + random.next());
    probes += 1;
    probeAt = clock.now() + jitteredMs;
    timer.dispose();
    timer = clock.after(jitteredMs, options.probe);
  }

  return {
    state: () => current,
    admit() {
      if (current !== 'down') {
        return;
      }
      throw new ServingError('platform-unavailable', 'the platform is down', {
        retryAfterMs: Math.max(0, probeAt - clock.now()),
      });
    },
    noteAnswer() {
      failures = 0;
      probes = 0;
      timer.dispose();
      send('answered');
    },
    noteFailure() {
      failures += 1;
      send('failed');
      if (failures >= FAILURES_TO_DOWN) {
        send('failedOften');
      }
      // A call that was under way when the outage began must not put off the probe.
      if (current === 'down' && clock.now() >= probeAt) {
        planProbe();
      }
    },
    onDidChange: changed.event,
    dispose() {
      timer.dispose();
      changed.dispose();
    },
  };
}
