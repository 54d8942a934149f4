/** Long prompts that other entries have just sent somewhere, before cache events tell. */
import type {Clock} from '@skylarkfield/base';
import {BLOCK_TOKENS} from '@skylarkfield/endpoints';

/** Time until cache events have told of a placement for certain, in milliseconds. */
const LIFE_MS = 10_000;
/** Placements kept at most, the oldest dropped first. */
const MOST_PLACEMENTS = 4_000;

/** That a prompt was sent to an endpoint: its last block stands for all before it. */
export interface Placement {
  readonly endpoint: string;
  /** Hash of the last block, which covers the whole prefix. */
  readonly block: string;
  /** Number of blocks up to and with that one. */
  readonly blocks: number;
}

export interface PeerPlacements {
  note(placement: Placement): void;
  /** Tokens of a prompt's start that each endpoint has by word of peers; absent when none. */
  tokensByEndpoint(blocks: readonly string[]): ReadonlyMap<string, number>;
  count(): number;
}

interface Noted extends Placement {
  readonly untilMs: number;
}

/**
 * Makes an empty book.
 *
 * An engine's cache events come a second or more after a prompt was sent. A
 * caller that goes on at another entry meanwhile would have its long history
 * computed again at another endpoint; with the word of the first entry it goes
 * where the history is.
 *
 * @example
 * const placements = createPeerPlacements(clock);
 * placements.note({endpoint: 'r3', block, blocks: 250});
 */
export function createPeerPlacements(clock: Clock): PeerPlacements {
  const byBlock = new Map<string, Noted>();

  function drop(): void {
    for (const [block, {untilMs}] of byBlock) {
      if (untilMs > clock.now() && byBlock.size <= MOST_PLACEMENTS) {
        return;
      }
      byBlock.delete(block);
    }
  }

  return {
    note(placement) {
      byBlock.delete(placement.block);
      byBlock.set(placement.block, {
        ...placement,
        untilMs: clock.now() + LIFE_MS,
      });
      drop();
    },
    tokensByEndpoint(blocks) {
      const tokens = new Map<string, number>();
      if (byBlock.size === 0) {
        return tokens;
      }
      for (let index = blocks.length - 1; index >= 0; index--) {
        const noted = byBlock.get(blocks[index]!);
        const isFresh = noted !== undefined && noted.untilMs > clock.now();
        if (isFresh && !tokens.has(noted.endpoint)) {
          tokens.set(noted.endpoint, (index + 1) * BLOCK_TOKENS);
        }
      }
      return tokens;
    },
    count: () => byBlock.size,
  };
}
