/** Detection of an engine that stops sending tokens during an answer. */
import {toDisposable, type Clock, type Disposable} from '@skylarkfield/base';

export interface StallLimits {
  /** Minimum time in milliseconds without tokens before a probe. */
  readonly minProbeDelayMs: number;
  /** Time without tokens before a probe, in multiples of the mean gap. */
  readonly probeDelayFactor: number;
  /** Stall timeout despite successful probes, in probe delays. */
  readonly stallTimeoutFactor: number;
  /** Milliseconds before a probe while no token was received yet. */
  readonly firstTokenProbeDelayMs: number;
  /** First-token stall timeout, as a fraction of the time to its deadline. */
  readonly firstTokenDeadlineFraction: number;
  /** Timeout of a probe in milliseconds. */
  readonly probeTimeoutMs: number;
}

export const defaultStallLimits: StallLimits = {
  minProbeDelayMs: 400,
  probeDelayFactor: 12,
  stallTimeoutFactor: 4,
  firstTokenProbeDelayMs: 800,
  firstTokenDeadlineFraction: 0.7,
  probeTimeoutMs: 250,
};

/** Weight of the newest sample in the moving average of token gaps. */
const GAP_EWMA_WEIGHT = 0.15;

export interface StallDetector extends Disposable {
  /** Records that a token was received. */
  recordToken(): void;
  /** Starts the timeout for the next token. */
  arm(): void;
  /** Starts the timeout for the first token. */
  armForFirstToken(stallTimeoutMs: number): void;
  /** Stops the timeout while the caller applies backpressure. */
  disarm(): void;
  /** Mean milliseconds between two tokens; 0 before the second token. */
  meanTokenGapMs(): number;
}

/**
 * Creates the stall detector of one attempt. `probe` resolves to whether the
 * engine responds; `onStall` is called at most once.
 *
 * Like a hung engine, a busy engine sends no tokens for a while, so a timeout
 * first triggers a probe: abandoning slow engines would move their work to
 * engines that are as busy, and overload the whole pool with repeated work.
 *
 * @example
 * const detector = createStallDetector({clock, limits, probe, onStall});
 * detector.arm();
 */
export function createStallDetector(options: {
  readonly clock: Clock;
  readonly limits: StallLimits;
  probe(): Promise<boolean>;
  onStall(message: string): void;
}): StallDetector {
  const {clock, limits} = options;
  let timer: Disposable = toDisposable(() => {});
  let lastTokenAtMs: number | undefined;
  let meanGapMs = 0;
  /** Incremented with each restart or stop, to invalidate pending probes. */
  let epoch = 0;

  function tokenProbeDelayMs(): number {
    const scaledMs = limits.probeDelayFactor * meanGapMs;
    return Math.max(limits.minProbeDelayMs, scaledMs);
  }

  function stop() {
    epoch += 1;
    timer.dispose();
  }

  function start(probeDelayMs: number, stallTimeoutMs: number) {
    stop();
    timer = clock.after(
      probeDelayMs,
      () => void probeEngine(probeDelayMs, stallTimeoutMs - probeDelayMs),
    );
  }

  /** Probes until a token arrives, as the engine may crash in the meantime. */
  async function probeEngine(probeDelayMs: number, remainingMs: number) {
    const probeEpoch = epoch;
    const isAlive = await options.probe();
    if (epoch !== probeEpoch) {
      return;
    }
    if (!isAlive) {
      options.onStall(
        'the engine sends no tokens and does not respond to probes',
      );
      return;
    }
    if (remainingMs <= 0) {
      options.onStall('the engine responds to probes but sends no tokens');
      return;
    }
    const delayMs = Math.min(probeDelayMs, remainingMs);
    timer = clock.after(
      delayMs,
      () => void probeEngine(probeDelayMs, remainingMs - delayMs),
    );
  }

  return {
    recordToken() {
      const nowMs = clock.now();
      if (lastTokenAtMs !== undefined) {
        const gapMs = nowMs - lastTokenAtMs;
        meanGapMs +=
          (gapMs - meanGapMs) * (meanGapMs === 0 ? 1 : GAP_EWMA_WEIGHT);
      }
      lastTokenAtMs = nowMs;
    },
    arm() {
      const probeDelayMs = tokenProbeDelayMs();
      start(probeDelayMs, probeDelayMs * limits.stallTimeoutFactor);
    },
    armForFirstToken: stallTimeoutMs =>
      start(limits.firstTokenProbeDelayMs, stallTimeoutMs),
    disarm() {
      stop();
      // The time the caller takes to read must not count as a token gap.
      lastTokenAtMs = undefined;
    },
    meanTokenGapMs: () => meanGapMs,
    dispose: stop,
  };
}
