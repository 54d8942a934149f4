/** Periodic reports between entries: usage, load, and sync status of the mirrors. */
import {
  disposableStore,
  every,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {Timestamp} from '@skylarkfield/traffic';
import type {DigestScope, RelayPlan} from './relayPlan.js';

type Digest = Messages['digest'];

/** A digest without its timestamps and sender. */
export type DigestContent = Omit<
  Digest,
  | 'stamp'
  | 'wallMs'
  | 'echo'
  | 'scope'
  | 'failureDomain'
  | 'incarnation'
  | 'upMs'
>;

export interface Digests extends Disposable {
  /** Wall clock corrected to the median of the peers' clocks, in milliseconds. */
  commonWallMs(): number;
}

/**
 * Interval of digests, in milliseconds. Processor time grows as it shrinks, and
 * overshoot of quotas as it grows.
 */
const INTERVAL_MS = 300;

/** Time without a digest after which a peer counts as silent, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_200;

/** One digest in so many goes to the standby relay; its data must be fresh when it takes over. */
const STANDBY_INTERVAL_TICKS = 3;

interface PeerContact {
  readonly at: number;
  readonly stamp: number;
  /** Peer's wall clock minus the local one, in milliseconds. */
  readonly wallOffsetMs: number;
}

/**
 * Starts to exchange digests with the targets of the relay plan.
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
  /** Present relay plan; it changes with the members. */
  plan(): RelayPlan;
  /**
   * Snapshots the local state once per tick; the result renders it for a scope.
   * Only `rest` depends on the receiver.
   */
  content(): (scope: DigestScope, receiver: string) => DigestContent;
  /** Called for each digest; `timestamp` is a local time before it was sent, if known. */
  onDidReceive(
    peer: string,
    digest: Digest,
    timestamp: Timestamp | undefined,
  ): void;
}): Digests {
  const {network, clock, self} = options;
  const owned = disposableStore();
  const contacts = new Map<string, PeerContact>();
  /** Wall time of each stamp sent, by stamp. */
  const wallAtStamp = new Map<number, number>();
  const startedAt = clock.now();
  let ticks = 0;

  /** Whether a target is a standby relay whose predecessor is alive. */
  function isStandby(peer: string, upstream: readonly string[]): boolean {
    const position = upstream.indexOf(peer);
    return position > 0 && upstream.slice(0, position).some(isAlive);
  }

  function send(): void {
    ticks += 1;
    const stamp = clock.now();
    const wallMs = clock.wall();
    wallAtStamp.set(stamp, wallMs);
    forgetOldStamps(stamp);
    const {
      targets,
      activeRelay: precedence,
      ownRelays: upstream,
    } = options.plan();
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

    const isActiveRelayAlive = precedence !== undefined && isAlive(precedence);
    for (const [peer, scope] of targets) {
      // Two active relays would double the traffic.
      if (isActiveRelayAlive && scope !== 'own') {
        continue;
      }
      if (ticks % STANDBY_INTERVAL_TICKS !== 0 && isStandby(peer, upstream)) {
        continue;
      }
      const echo = contacts.get(peer)?.stamp;
      network.send(peer, 'digest', {
        ...contentFor(scope, peer),
        ...self,
        upMs: stamp - startedAt,
        scope,
        stamp,
        wallMs,
        ...(echo === undefined ? {} : {echo}),
      });
    }
  }

  function isAlive(peer: string): boolean {
    const last = contacts.get(peer);
    return last !== undefined && clock.now() - last.at < PEER_TIMEOUT_MS;
  }

  function forgetOldStamps(now: number): void {
    for (const stamp of wallAtStamp.keys()) {
      if (now - stamp < PEER_TIMEOUT_MS * 4) {
        return;
      }
      wallAtStamp.delete(stamp);
    }
  }

  /**
   * Local time that the sender had echoed, a lower bound of when it sent: a
   * digest may have been delayed for seconds and must not look newer than it is.
   */
  function sentAfter({echo}: Digest): Timestamp | undefined {
    const wallMs = echo === undefined ? undefined : wallAtStamp.get(echo);
    if (echo === undefined || wallMs === undefined) {
      return undefined;
    }
    return {monotonicMs: echo, wallMs};
  }

  function receive(peer: string, digest: Digest): void {
    contacts.set(peer, {
      at: clock.now(),
      stamp: digest.stamp,
      wallOffsetMs: digest.wallMs - clock.wall(),
    });
    options.onDidReceive(peer, digest, sentAfter(digest));
  }

  function liveContacts(): [string, PeerContact][] {
    return [...contacts].filter(
      ([, {at}]) => clock.now() - at < PEER_TIMEOUT_MS,
    );
  }

  owned.add(network.onDidReceive('digest', receive));
  owned.add(every(clock, INTERVAL_MS, send));
  return {
    commonWallMs() {
      const offsets = [
        0,
        ...liveContacts().map(([, {wallOffsetMs}]) => wallOffsetMs),
      ];
      offsets.sort((a, b) => a - b);
      return clock.wall() + offsets[Math.floor((offsets.length - 1) / 2)]!;
    },
    dispose: () => owned.dispose(),
  };
}
