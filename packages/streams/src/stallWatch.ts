/** Notices an engine that has fallen silent in the middle of an answer. */
import {toDisposable, type Clock, type Disposable} from '@skylarkfield/base';

export interface StallLimits {
  /** Silence in milliseconds that is never held against an engine. */
  readonly minSilenceMs: number;
  /** Silence relative to the usual time between tokens that makes us ask the engine. */
  readonly silenceFactor: number;
  /** Silence relative to the asking limit after which an engine that still answers is given up. */
  readonly giveUpFactor: number;
  /** Silence before the first token after which we ask. */
  readonly firstTokenAskMs: number;
  /** Part of the time to the first token's deadline after which silence is given up. */
  readonly firstTokenShare: number;
  /** Milliseconds that the engine has to say that it is alive. */
  readonly probeMs: number;
}

export const defaultStallLimits: StallLimits = {
  minSilenceMs: 400,
  silenceFactor: 12,
  giveUpFactor: 4,
  firstTokenAskMs: 800,
  firstTokenShare: 0.7,
  probeMs: 250,
};

/** Weight of the newest gap in the smoothed time between tokens. */
const GAP_WEIGHT = 0.15;

export interface StallWatch extends Disposable {
  /** A token came from the engine. */
  touch(): void;
  /** Silence between tokens counts from now on. */
  arm(): void;
  /** Silence before the first token counts; it is given up after so long. */
  armFirst(giveUpMs: number): void;
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
 * watch.arm();
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

  function start(askMs: number, giveUpMs: number) {
    stop();
    timer = clock.after(askMs, () => void ask(askMs, giveUpMs - askMs));
  }

  /** Asks again and again while the silence lasts: an engine may die in it. */
  async function ask(askMs: number, leftMs: number) {
    const asked = epoch;
    const isAlive = await options.probe();
    if (epoch !== asked) {
      return;
    }
    if (!isAlive) {
      options.stalled('the engine is silent and does not answer');
      return;
    }
    if (leftMs <= 0) {
      options.stalled('the engine answers but sends no token');
      return;
    }
    const nextMs = Math.min(askMs, leftMs);
    timer = clock.after(nextMs, () => void ask(askMs, leftMs - nextMs));
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
    arm() {
      const askMs = silenceLimitMs();
      start(askMs, askMs * limits.giveUpFactor);
    },
    armFirst: giveUpMs => start(limits.firstTokenAskMs, giveUpMs),
    disarm() {
      stop();
      // What the caller takes to read says nothing about the engine's pace.
      lastMs = undefined;
    },
    gapMs: () => smoothedGapMs,
    dispose: stop,
  };
}
