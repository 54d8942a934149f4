/** Notices an engine that has fallen silent in the middle of an answer. */
import {toDisposable, type Clock, type Disposable} from '@skylarkfield/base';

export interface StallLimits {
  /** Silence in milliseconds that is never held against an engine. */
  readonly minSilenceMs: number;
  /** Silence relative to the usual time between tokens that makes us ask the engine. */
  readonly silenceFactor: number;
  /** Silence relative to the asking limit after which an engine that still answers is given up. */
  readonly giveUpFactor: number;
  /** Milliseconds that the engine has to say that it is alive. */
  readonly probeMs: number;
  /** Part of the time to the first token's deadline after which silence makes us ask. */
  readonly firstTokenShare: number;
}

export const defaultStallLimits: StallLimits = {
  minSilenceMs: 400,
  silenceFactor: 12,
  giveUpFactor: 4,
  probeMs: 250,
  firstTokenShare: 0.35,
};

/** Weight of the newest gap in the smoothed time between tokens. */
const GAP_WEIGHT = 0.15;

export interface StallWatch extends Disposable {
  /** Something came from the engine. */
  touch(): void;
  /** Silence counts from now on, up to the given limit if one is given. */
  arm(limitMs?: number): void;
  /** Silence does not count: the caller holds the stream back. */
  disarm(): void;
  /** Usual milliseconds between two tokens; 0 before the second. */
  gapMs(): number;
}

/**
 * Watches one attempt. `probe` asks the engine for a sign of life; `stalled`
 * is called at most once.
 *
 * A busy engine is silent too, so silence alone first makes us ask: giving up
 * on engines that are only slow would send their work to others which are as
 * busy, and the whole pool would drown in repeated work.
 *
 * @example
 * const watch = createStallWatch({clock, limits, probe, stalled});
 * watch.arm(500);
 */
export function createStallWatch(options: {
  readonly clock: Clock;
  readonly limits: StallLimits;
  probe(): Promise<boolean>;
  stalled(why: string): void;
}): StallWatch {
  const {clock, limits} = options;
  let timer: Disposable = toDisposable(() => {});
  let lastMs: number | undefined;
  let smoothedGapMs = 0;
  /** Rises with every sign of life, so that an older probe's answer is void. */
  let epoch = 0;

  function silenceLimitMs(): number {
    const relative = limits.silenceFactor * smoothedGapMs;
    return Math.max(limits.minSilenceMs, relative);
  }

  function stop() {
    epoch += 1;
    timer.dispose();
  }

  async function ask(limitMs: number) {
    const asked = epoch;
    const isAlive = await options.probe();
    if (epoch !== asked) {
      return;
    }
    if (!isAlive) {
      options.stalled('the engine is silent and does not answer');
      return;
    }
    timer = clock.after(limitMs * (limits.giveUpFactor - 1), () =>
      options.stalled('the engine answers but sends no token'),
    );
  }

  return {
    touch() {
      const nowMs = clock.now();
      if (lastMs !== undefined) {
        const gap = nowMs - lastMs;
        smoothedGapMs +=
          (gap - smoothedGapMs) * (smoothedGapMs === 0 ? 1 : GAP_WEIGHT);
      }
      lastMs = nowMs;
    },
    arm(limitMs = silenceLimitMs()) {
      stop();
      timer = clock.after(limitMs, () => void ask(limitMs));
    },
    disarm: stop,
    gapMs: () => smoothedGapMs,
    dispose: stop,
  };
}
