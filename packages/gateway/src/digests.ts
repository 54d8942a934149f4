/** What entries tell each other several times a second. */
import {
  disposableStore,
  every,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {Moment} from '@skylarkfield/traffic';
import type {DigestScope, RelayPlan} from './relayPlan.js';

type Digest = Messages['digest'];

/** What this entry says, but for the stamps. */
export type DigestContent = Omit<
  Digest,
  'stamp' | 'wallMs' | 'echo' | 'scope' | 'failureDomain' | 'incarnation'
>;

export interface Digests extends Disposable {
  /** The wall clock corrected by the median of the peers' clocks, in milliseconds. */
  commonWallMs(): number;
}

/**
 * Between two digests. More often costs processor time with the square of the
 * entries; less often, and a customer beyond its quota overshoots by more.
 */
const INTERVAL_MS = 300;

/** Silence after which a peer no longer counts as heard, in milliseconds: four digests. */
export const SILENCE_MS = 1_200;

/** Every so many digests also go to the relay that only stands by: often enough that its knowledge counts as fresh when it takes over. */
const STANDBY_EVERY = 3;

interface Heard {
  readonly at: number;
  readonly stamp: number;
  /** The peer's wall clock minus ours, in milliseconds. */
  readonly wallOffsetMs: number;
}

/**
 * Starts to exchange digests with those whom the plan names.
 *
 * @example
 * const digests = startDigests({network, clock, self, plan, content, onDidHear});
 */
export function startDigests(options: {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly self: {
    readonly failureDomain: string;
    readonly incarnation: number;
  };
  /** The plan now; it changes with the members. */
  plan(): RelayPlan;
  /**
   * Reads what this entry knows now, once for all digests of a tick; the result
   * gives what a receiver is told. Only `rest` differs from receiver to receiver.
   */
  content(): (scope: DigestScope, receiver: string) => DigestContent;
  /** A digest has come; it was sent after `moment`, if that is known. */
  onDidHear(peer: string, digest: Digest, moment: Moment | undefined): void;
}): Digests {
  const {network, clock, self} = options;
  const owned = disposableStore();
  const heard = new Map<string, Heard>();
  /** Wall minus monotonic time when a stamp was sent, to find its wall time again. */
  const wallAtStamp = new Map<number, number>();
  let ticks = 0;

  /** Whether a target only stands by while the relay before it is heard. */
  function isStandby(peer: string, upstream: readonly string[]): boolean {
    const place = upstream.indexOf(peer);
    return place > 0 && upstream.slice(0, place).some(isHeard);
  }

  function send(): void {
    ticks += 1;
    const stamp = clock.now();
    const wallMs = clock.wall();
    wallAtStamp.set(stamp, wallMs);
    forgetOldStamps(stamp);
    const {targets, precedence, upstream} = options.plan();
    const content = options.content();
    const shared = new Map<DigestScope, DigestContent>();

    function contentFor(scope: DigestScope, receiver: string): DigestContent {
      if (scope === 'rest') {
        return content(scope, receiver);
      }
      const known = shared.get(scope) ?? content(scope, receiver);
      shared.set(scope, known);
      return known;
    }

    const isSpare = precedence !== undefined && isHeard(precedence);
    for (const [peer, scope] of targets) {
      // A second relay that spoke beside the first would double the traffic.
      if (isSpare && scope !== 'own') {
        continue;
      }
      if (ticks % STANDBY_EVERY !== 0 && isStandby(peer, upstream)) {
        continue;
      }
      const echo = heard.get(peer)?.stamp;
      network.send(peer, 'digest', {
        ...contentFor(scope, peer),
        ...self,
        scope,
        stamp,
        wallMs,
        ...(echo === undefined ? {} : {echo}),
      });
    }
  }

  function isHeard(peer: string): boolean {
    const last = heard.get(peer);
    return last !== undefined && clock.now() - last.at < SILENCE_MS;
  }

  function forgetOldStamps(now: number): void {
    for (const stamp of wallAtStamp.keys()) {
      if (now - stamp < SILENCE_MS * 4) {
        return;
      }
      wallAtStamp.delete(stamp);
    }
  }

  /**
   * The moment of ours that the sender had seen when it sent: its word may have
   * been on the way for seconds, and must not look newer than it is.
   */
  function sentAfter({echo}: Digest): Moment | undefined {
    const wallMs = echo === undefined ? undefined : wallAtStamp.get(echo);
    if (echo === undefined || wallMs === undefined) {
      return undefined;
    }
    return {monotonicMs: echo, wallMs};
  }

  function receive(peer: string, digest: Digest): void {
    heard.set(peer, {
      at: clock.now(),
      stamp: digest.stamp,
      wallOffsetMs: digest.wallMs - clock.wall(),
    });
    options.onDidHear(peer, digest, sentAfter(digest));
  }

  function lately(): [string, Heard][] {
    return [...heard].filter(([, {at}]) => clock.now() - at < SILENCE_MS);
  }

  owned.add(network.onDidReceive('digest', receive));
  owned.add(every(clock, INTERVAL_MS, send));
  return {
    commonWallMs() {
      const offsets = [
        0,
        ...lately().map(([, {wallOffsetMs}]) => wallOffsetMs),
      ];
      offsets.sort((a, b) => a - b);
      return clock.wall() + offsets[Math.floor((offsets.length - 1) / 2)]!;
    },
    dispose: () => owned.dispose(),
  };
}
