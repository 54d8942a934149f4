/**
 * Exchange of digests: periodic reports between entries with usage, load and
 * the sync status of mirrors.
 */
import {
  createDisposableStore,
  scheduleRepeatedly,
  type Clock,
  type Disposable,
} from '@skylarkfield/base';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import type {Timestamp} from '@skylarkfield/traffic';
import type {DigestScope, RelayPlan} from './relayPlan.js';

type Digest = Messages['digest'];

/** A digest without its sender, scope and timestamps. */
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
  /**
   * Wall clock corrected by the median offset of the peers' clocks, in
   * milliseconds.
   */
  commonWallMs(): number;
}

/**
 * Interval of digests, in milliseconds. A shorter interval costs processor
 * time; with a longer one, more has to be assumed as used when the owner of a
 * quota fails.
 */
const DIGEST_INTERVAL_MS = 300;

/** Time without digests until a peer counts as unreachable, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_200;

/**
 * Ticks per digest to a standby relay. The data of the standby relay must be
 * fresh when it takes over.
 */
const STANDBY_INTERVAL_TICKS = 3;

/** Times of the last digest from a peer. */
interface PeerContact {
  /** Monotonic milliseconds at which the digest was received. */
  readonly receivedAt: number;
  /** Monotonic milliseconds of the peer at which the digest was sent. */
  readonly stamp: number;
  /** Peer's wall clock minus the local wall clock, in milliseconds. */
  readonly wallOffsetMs: number;
}

/**
 * Starts to exchange digests with the targets of the relay plan.
 *
 * @example
 * const digests = startDigests({network, clock, self, plan,
 *   takeSnapshot, onDidReceive});
 */
export function startDigests(options: {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly self: {
    readonly failureDomain: string;
    readonly incarnation: number;
  };
  /** Current relay plan; it changes with the membership. */
  plan(): RelayPlan;
  /**
   * Called once per tick. Takes a snapshot of the local state, and returns a
   * function that creates the digest content for a scope. Only the content for
   * the scope `rest` depends on the receiver.
   */
  takeSnapshot(): (scope: DigestScope, receiver: string) => DigestContent;
  /**
   * Called for each received digest. `timestamp` is a time before the digest
   * was sent; undefined if the digest does not echo a recently sent stamp.
   */
  onDidReceive(
    peer: string,
    digest: Digest,
    timestamp: Timestamp | undefined,
  ): void;
}): Digests {
  const {network, clock, self} = options;
  const disposables = createDisposableStore();
  const contactsByPeer = new Map<string, PeerContact>();
  /** Wall-clock milliseconds of each recently sent stamp. */
  const wallMsByStamp = new Map<number, number>();
  const startedAt = clock.now();
  let tickCount = 0;

  /**
   * Whether the peer is a standby relay of this entry and any relay before it
   * in the order of relays is alive.
   */
  function isStandby(peer: string, relayIds: readonly string[]): boolean {
    const position = relayIds.indexOf(peer);
    return position > 0 && relayIds.slice(0, position).some(isAlive);
  }

  function sendDigests(): void {
    tickCount += 1;
    const stamp = clock.now();
    const wallMs = clock.wall();
    wallMsByStamp.set(stamp, wallMs);
    dropOldStamps(stamp);
    const {targets, activeRelayId, relayIds} = options.plan();
    const contentOf = options.takeSnapshot();
    const contentByScope = new Map<DigestScope, DigestContent>();

    function cachedContentFor(
      scope: DigestScope,
      receiver: string,
    ): DigestContent {
      if (scope === 'rest') {
        return contentOf(scope, receiver);
      }
      const content = contentByScope.get(scope) ?? contentOf(scope, receiver);
      contentByScope.set(scope, content);
      return content;
    }

    const isActiveRelayAlive =
      activeRelayId !== undefined && isAlive(activeRelayId);
    for (const [peer, scope] of targets) {
      // While the active relay is alive, its standby sends no aggregates: they
      // would double the traffic.
      if (isActiveRelayAlive && scope !== 'own') {
        continue;
      }
      if (
        tickCount % STANDBY_INTERVAL_TICKS !== 0 &&
        isStandby(peer, relayIds)
      ) {
        continue;
      }
      const echo = contactsByPeer.get(peer)?.stamp;
      network.send(peer, 'digest', {
        ...cachedContentFor(scope, peer),
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
    const contact = contactsByPeer.get(peer);
    return (
      contact !== undefined &&
      clock.now() - contact.receivedAt < PEER_TIMEOUT_MS
    );
  }

  function dropOldStamps(now: number): void {
    for (const stamp of wallMsByStamp.keys()) {
      if (now - stamp < PEER_TIMEOUT_MS * 4) {
        return;
      }
      wallMsByStamp.delete(stamp);
    }
  }

  /**
   * Returns the local stamp that the sender echoed, which is a lower bound of
   * the time at which the digest was sent: a digest may have been delayed for
   * seconds and must not appear newer than it is. Undefined if the digest
   * echoes no stamp, or a stamp that is no longer stored.
   */
  function echoedTimestamp({echo}: Digest): Timestamp | undefined {
    const wallMs = echo === undefined ? undefined : wallMsByStamp.get(echo);
    if (echo === undefined || wallMs === undefined) {
      return undefined;
    }
    return {monotonicMs: echo, wallMs};
  }

  function receiveDigest(peer: string, digest: Digest): void {
    contactsByPeer.set(peer, {
      receivedAt: clock.now(),
      stamp: digest.stamp,
      wallOffsetMs: digest.wallMs - clock.wall(),
    });
    options.onDidReceive(peer, digest, echoedTimestamp(digest));
  }

  function recentContacts(): [string, PeerContact][] {
    return [...contactsByPeer].filter(
      ([, {receivedAt}]) => clock.now() - receivedAt < PEER_TIMEOUT_MS,
    );
  }

  disposables.add(network.addHandler('digest', receiveDigest));
  disposables.add(scheduleRepeatedly(clock, DIGEST_INTERVAL_MS, sendDigests));
  return {
    commonWallMs() {
      const offsets = [
        0,
        ...recentContacts().map(([, {wallOffsetMs}]) => wallOffsetMs),
      ];
      offsets.sort((a, b) => a - b);
      return clock.wall() + offsets[Math.floor((offsets.length - 1) / 2)]!;
    },
    dispose: () => disposables.dispose(),
  };
}
