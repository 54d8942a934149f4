/** Detection of an engine that stops sending tokens during an answer. */
import {toDisposable, type Clock, type Disposable} from '@skylarkfield/base';

export interface StallLimits {
  /** Minimum milliseconds without a token before the engine is probed. */
  readonly minProbeDelayMs: number;
  /**
   * Time without a token before the engine is probed, as a multiple of the mean
   * time between two tokens.
   */
  readonly probeDelayFactor: number;
  /**
   * Time without a token that counts as a stall even if probes succeed, as a
   * multiple of the time before the first probe.
   */
  readonly stallTimeoutFactor: number;
  /** Milliseconds without the first token before the engine is probed. */
  readonly firstTokenProbeDelayMs: number;
  /**
   * Time without the first token that counts as a stall even if probes succeed,
   * as a fraction of the time until the deadline of that token.
   */
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

export interface Stall {
  readonly message: string;
  /** Whether the engine responds to probes. */
  readonly isResponding: boolean;
}

export interface StallDetector extends Disposable {
  /** Records that a token was received. */
  recordToken(): void;
  /** Starts waiting for the next token; each call restarts the wait. */
  arm(): void;
  /**
   * Starts waiting for the first token of the attempt; without a token, the
   * engine counts as stalled after `stallTimeoutMs` even if probes succeed.
   */
  armForFirstToken(stallTimeoutMs: number): void;
  /** Stops waiting for a token, while the caller applies backpressure. */
  disarm(): void;
  /** Mean milliseconds between two tokens; 0 before the second token. */
  meanTokenGapMs(): number;
}

/**
 * Creates the stall detector of one attempt. `probe` resolves to whether the
 * engine responds; `onStall` is called when the engine has stalled, at most once
 * per `arm` or `armForFirstToken`.
 *
 * A busy engine sends no tokens for a while, just as a hung engine does, so a
 * pause first triggers a probe: abandoning busy engines would move their work
 * to engines that are as busy, and overload the whole pool with repeated work.
 *
 * @example
 * const detector = createStallDetector({clock, limits, probe, onStall});
 * detector.arm();
 */
export function createStallDetector(options: {
  readonly clock: Clock;
  readonly limits: StallLimits;
  probe(): Promise<boolean>;
  onStall(stall: Stall): void;
}): StallDetector {
  const {clock, limits} = options;
  let timer: Disposable = toDisposable(() => {});
  let lastTokenAtMs: number | undefined;
  let meanGapMs = 0;
  /**
   * Incremented at each start or stop of the timer, so that the result of a
   * probe that started before is ignored.
   */
  let timerEpoch = 0;

  function tokenProbeDelayMs(): number {
    const scaledMs = limits.probeDelayFactor * meanGapMs;
    return Math.max(limits.minProbeDelayMs, scaledMs);
  }

  function stopTimer() {
    timerEpoch += 1;
    timer.dispose();
  }

  function startTimer(probeDelayMs: number, stallTimeoutMs: number) {
    stopTimer();
    timer = clock.after(
      probeDelayMs,
      () => void probeEngine(probeDelayMs, stallTimeoutMs - probeDelayMs),
    );
  }

  /** Repeats probes until a token arrives, as the engine may crash later. */
  async function probeEngine(probeDelayMs: number, msUntilStall: number) {
    const epochAtProbe = timerEpoch;
    const isResponding = await options.probe();
    if (timerEpoch !== epochAtProbe) {
      return;
    }
    if (!isResponding) {
      options.onStall({
        message: 'the engine sends no tokens and does not respond to probes',
        isResponding,
      });
      return;
    }
    if (msUntilStall <= 0) {
      options.onStall({
        message: 'the engine responds to probes but sends no tokens',
        isResponding,
      });
      return;
    }
    const delayMs = Math.min(probeDelayMs, msUntilStall);
    timer = clock.after(
      delayMs,
      () => void probeEngine(probeDelayMs, msUntilStall - delayMs),
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
      startTimer(probeDelayMs, probeDelayMs * limits.stallTimeoutFactor);
    },
    armForFirstToken: stallTimeoutMs =>
      startTimer(limits.firstTokenProbeDelayMs, stallTimeoutMs),
    disarm() {
      stopTimer();
      // The time that the caller takes to read must not count as a token gap.
      lastTokenAtMs = undefined;
    },
    meanTokenGapMs: () => meanGapMs,
    dispose: stopTimer,
  };
}
