/** Periodic reports between entries: usage, load and mirrors' sync status. */
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
  /** Wall clock corrected to the peers' median, in milliseconds. */
  commonWallMs(): number;
}

/**
 * Interval of digests, in milliseconds. A shorter interval costs processor
 * time; a longer interval lets quotas overshoot more.
 */
const DIGEST_INTERVAL_MS = 300;

/** Time without digests until a peer counts as unreachable, in milliseconds. */
export const PEER_TIMEOUT_MS = 1_200;

/** Ticks between digests to a standby relay, whose data must be fresh. */
const STANDBY_INTERVAL_TICKS = 3;

interface PeerContact {
  readonly receivedAt: number;
  readonly stamp: number;
  /** Peer's wall clock minus the local one, in milliseconds. */
  readonly wallOffsetMs: number;
}

/**
 * Starts to exchange digests with the targets of the relay plan.
 *
 * @example
 * const digests = startDigests({network, clock, self, plan, content,
 *   onDidReceive});
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
   * Takes a snapshot of the local state once per tick, and returns a function
   * for the digest of a scope. Only that of `rest` depends on the receiver.
   */
  content(): (scope: DigestScope, receiver: string) => DigestContent;
  /** Called for each digest; it was sent after `timestamp`, if known. */
  onDidReceive(
    peer: string,
    digest: Digest,
    timestamp: Timestamp | undefined,
  ): void;
}): Digests {
  const {network, clock, self} = options;
  const disposables = disposableStore();
  const contacts = new Map<string, PeerContact>();
  /** Wall-clock milliseconds of each stamp sent. */
  const wallAtStamp = new Map<number, number>();
  const startedAt = clock.now();
  let ticks = 0;

  /** Whether a target is a standby relay while an earlier relay is alive. */
  function isStandby(peer: string, ownRelays: readonly string[]): boolean {
    const position = ownRelays.indexOf(peer);
    return position > 0 && ownRelays.slice(0, position).some(isAlive);
  }

  function send(): void {
    ticks += 1;
    const stamp = clock.now();
    const wallMs = clock.wall();
    wallAtStamp.set(stamp, wallMs);
    dropOldStamps(stamp);
    const {targets, activeRelay, ownRelays} = options.plan();
    const content = options.content();
    const contentByScope = new Map<DigestScope, DigestContent>();

    function contentFor(scope: DigestScope, receiver: string): DigestContent {
      if (scope === 'rest') {
        return content(scope, receiver);
      }
      const known = contentByScope.get(scope) ?? content(scope, receiver);
      contentByScope.set(scope, known);
      return known;
    }

    const isActiveRelayAlive =
      activeRelay !== undefined && isAlive(activeRelay);
    for (const [peer, scope] of targets) {
      // A second active relay would double the traffic.
      if (isActiveRelayAlive && scope !== 'own') {
        continue;
      }
      if (ticks % STANDBY_INTERVAL_TICKS !== 0 && isStandby(peer, ownRelays)) {
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
    return (
      last !== undefined && clock.now() - last.receivedAt < PEER_TIMEOUT_MS
    );
  }

  function dropOldStamps(now: number): void {
    for (const stamp of wallAtStamp.keys()) {
      if (now - stamp < PEER_TIMEOUT_MS * 4) {
        return;
      }
      wallAtStamp.delete(stamp);
    }
  }

  /**
   * Returns the local stamp that the sender echoed, a lower bound of the send
   * time: a digest may have been delayed for seconds and must not appear newer
   * than it is.
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
      receivedAt: clock.now(),
      stamp: digest.stamp,
      wallOffsetMs: digest.wallMs - clock.wall(),
    });
    options.onDidReceive(peer, digest, sentAfter(digest));
  }

  function liveContacts(): [string, PeerContact][] {
    return [...contacts].filter(
      ([, {receivedAt}]) => clock.now() - receivedAt < PEER_TIMEOUT_MS,
    );
  }

  disposables.add(network.onDidReceive('digest', receive));
  disposables.add(every(clock, DIGEST_INTERVAL_MS, send));
  return {
    commonWallMs() {
      const offsets = [
        0,
        ...liveContacts().map(([, {wallOffsetMs}]) => wallOffsetMs),
      ];
      offsets.sort((a, b) => a - b);
      return clock.wall() + offsets[Math.floor((offsets.length - 1) / 2)]!;
    },
    dispose: () => disposables.dispose(),
  };
}
