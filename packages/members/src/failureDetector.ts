/**
 * Failure detector for neighbours. A neighbour whose heartbeats are missing
 * becomes suspect. It is declared gone only when another member has received no
 * message from it either, so that one broken link between two entries removes
 * neither entry.
 */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import type {
  MemberUpdate,
  MemberProbeResponse,
  LastSeenResponse,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {KnownMember, MemberTable} from './memberTable.js';
import {MAX_FULL_MESH_MEMBERS} from './neighbours.js';
import type {MemberTiming} from './timing.js';

/** Suspects silent neighbours and confirms whether they are gone. */
export interface FailureDetector {
  /** Checks the neighbours for silence; must be called with every heartbeat. */
  check(neighbourIds: readonly string[]): void;
  /**
   * Requests a member's current update; resolves to whether the member
   * answered.
   */
  probe(id: string): Promise<boolean>;
  /**
   * Returns the milliseconds since the last message received directly from a
   * member, or -1 if none was received from the given or a later incarnation.
   */
  lastSeen(id: string, incarnation: number): LastSeenResponse;
  recordHeartbeat(id: string): void;
  /** Records that a neighbour's connection opened or closed. */
  recordConnectionChange(id: string, isOpen: boolean): void;
  dump(): unknown;
}

interface Suspicion {
  /** Monotonic milliseconds at which the member became suspect. */
  readonly suspectedAt: number;
  /** Ids of members that have received no recent message from the suspect. */
  readonly silentTo: Set<string>;
  isInvestigating: boolean;
}

/**
 * Number of members that must confirm the silence of a suspect for the shorter
 * timeout of large fleets.
 */
const RELAYED_CONFIRMATIONS = 4;

/** Maximum number of members queried about a suspect in one round. */
const PEERS_PER_ROUND = 3;

/**
 * Creates the failure detector of one entry.
 *
 * @example
 * const failureDetector = createFailureDetector({table, network, ...rest});
 * failureDetector.check(neighbourIds);
 */
export function createFailureDetector(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  readonly timing: MemberTiming;
  localUpdate(): MemberUpdate;
  /** Applies an update from a probe response. */
  applyUpdate(update: MemberUpdate): void;
  /** Called when a suspect has been confirmed gone. */
  onDidConfirmGone(knownMember: KnownMember): void;
}): FailureDetector {
  const {table, network, clock, random, decisions, timing} = options;
  const suspicions = new Map<string, Suspicion>();
  /** Monotonic milliseconds at which each member's connection last closed. */
  const connectionClosedAt = new Map<string, number>();
  /**
   * Monotonic milliseconds at which each member became a neighbour; no
   * heartbeats from it are expected before.
   */
  let neighbourSince = new Map<string, number>();
  let probes = 0;
  let falseSuspicions = 0;

  async function probe(id: string): Promise<boolean> {
    const knownMember = table.get(id);
    const knownUpdate = knownMember && {
      ...knownMember.update,
      state: knownMember.machine.state(),
    };
    const startedAt = clock.now();
    probes += 1;
    try {
      const from = options.localUpdate();
      const body = {from, ...(knownUpdate && {believed: knownUpdate})};
      const response = (await network.request(
        id,
        'memberProbe',
        body,
        timing.probeTimeoutMs,
      )) as MemberProbeResponse;
      options.applyUpdate(response.news);
      if (response.believed !== undefined) {
        options.applyUpdate(response.believed);
      }
    } catch {
      return false;
    }
    recordAlive(id, startedAt, true);
    return true;
  }

  function recordAlive(id: string, seenAt: number, isDirect: boolean) {
    const knownMember = table.get(id);
    if (knownMember === undefined) {
      return;
    }
    knownMember.lastSeenAt = Math.max(knownMember.lastSeenAt, seenAt);
    if (isDirect) {
      knownMember.lastSeenDirectlyAt = Math.max(
        knownMember.lastSeenDirectlyAt,
        seenAt,
      );
    }
    if (knownMember.machine.state() === 'suspect') {
      falseSuspicions += 1;
      suspicions.delete(id);
      table.sendEvent(
        knownMember,
        knownMember.hasLeft ? 'announcedLeaving' : 'seen',
      );
    }
  }

  async function queryPeer(
    peer: string,
    knownMember: KnownMember,
  ): Promise<void> {
    const {id, incarnation} = knownMember.update;
    const body = {id, incarnation};
    const response = await network
      .request(peer, 'memberWord', body, timing.probeTimeoutMs)
      .catch(() => undefined);
    if (response === undefined) {
      return;
    }
    const {heardAgoMs} = response as LastSeenResponse;
    const lastSeenAt = clock.now() - heardAgoMs;
    // A message received before the connection closed proves nothing, as the
    // member may have crashed since.
    const isFresh =
      heardAgoMs >= 0 &&
      heardAgoMs < timing.silenceTimeoutMs &&
      lastSeenAt > (connectionClosedAt.get(id) ?? -Infinity);
    if (isFresh) {
      recordAlive(id, lastSeenAt, false);
      return;
    }
    suspicions.get(id)?.silentTo.add(peer);
  }

  /**
   * Returns the ids of all live members except the given one. Suspects are
   * excluded because their answers do not count as confirmation.
   */
  function liveMemberIdsExcept(id: string): string[] {
    return [...table.all()]
      .filter(
        member => member.machine.state() === 'live' && member.update.id !== id,
      )
      .map(member => member.update.id);
  }

  async function investigate(knownMember: KnownMember, suspicion: Suspicion) {
    suspicion.isInvestigating = true;
    const candidates = liveMemberIdsExcept(knownMember.update.id);
    const requests: Promise<unknown>[] = [probe(knownMember.update.id)];
    for (
      let queryCount = 0;
      queryCount < PEERS_PER_ROUND && candidates.length > 0;
      queryCount++
    ) {
      const [peer] = candidates.splice(
        random.integer(0, candidates.length - 1),
        1,
      );
      requests.push(queryPeer(peer!, knownMember));
    }
    await Promise.all(requests);
    suspicion.isInvestigating = false;
    declareGoneIfConfirmed(knownMember, suspicion);
  }

  /** Returns the minimum time from suspect to gone, in milliseconds. */
  function suspicionTimeoutMs(
    {silentTo}: Suspicion,
    otherLiveCount: number,
  ): number {
    const isRelayed = otherLiveCount >= MAX_FULL_MESH_MEMBERS;
    return isRelayed && silentTo.size >= RELAYED_CONFIRMATIONS
      ? timing.relayedSuspicionTimeoutMs
      : timing.suspicionTimeoutMs;
  }

  /**
   * Declares a suspect gone if it has been suspect for long enough and another
   * member, if one is live, confirmed the silence.
   */
  function declareGoneIfConfirmed(
    knownMember: KnownMember,
    suspicion: Suspicion,
  ) {
    const {id} = knownMember.update;
    const isCurrentSuspicion = suspicions.get(id) === suspicion;
    const ageMs = clock.now() - suspicion.suspectedAt;
    const otherLiveCount = liveMemberIdsExcept(id).length;
    if (
      !isCurrentSuspicion ||
      ageMs < suspicionTimeoutMs(suspicion, otherLiveCount)
    ) {
      return;
    }
    // Without other live members, the silence is the only available evidence.
    if (suspicion.silentTo.size === 0 && otherLiveCount > 0) {
      return;
    }
    suspicions.delete(id);
    decisions.recordDecision(
      'members',
      id,
      'count as gone',
      'no heartbeat, confirmed',
      {
        silentMs: Math.round(clock.now() - knownMember.lastSeenAt),
        confirmedBy: suspicion.silentTo.size,
        others: otherLiveCount,
      },
    );
    options.onDidConfirmGone(knownMember);
  }

  function silenceTimeoutMs(knownMember: KnownMember): number {
    const lastClosedAt = connectionClosedAt.get(knownMember.update.id);
    const hasClosedSinceLastSeen =
      lastClosedAt !== undefined && lastClosedAt >= knownMember.lastSeenAt;
    return hasClosedSinceLastSeen
      ? timing.closedSilenceTimeoutMs
      : timing.silenceTimeoutMs;
  }

  function markSuspect(knownMember: KnownMember, silentMs: number) {
    const {id} = knownMember.update;
    const suspicion = {
      suspectedAt: clock.now(),
      silentTo: new Set<string>(),
      isInvestigating: false,
    };
    suspicions.set(id, suspicion);
    decisions.recordDecision('members', id, 'suspect', 'no heartbeat', {
      silentMs: Math.round(silentMs),
    });
    table.sendEvent(knownMember, 'suspected');
    void investigate(knownMember, suspicion);
  }

  function checkMember(id: string) {
    const knownMember = table.get(id);
    if (knownMember === undefined || knownMember.machine.state() === 'gone') {
      suspicions.delete(id);
      return;
    }
    const suspicion = suspicions.get(id);
    if (suspicion !== undefined) {
      if (!suspicion.isInvestigating) {
        void investigate(knownMember, suspicion);
      }
      return;
    }
    const silentSince = Math.max(
      knownMember.lastSeenAt,
      neighbourSince.get(id) ?? 0,
    );
    const silentMs = clock.now() - silentSince;
    if (silentMs > silenceTimeoutMs(knownMember)) {
      markSuspect(knownMember, silentMs);
    }
  }

  return {
    check(neighbourIds) {
      const now = clock.now();
      neighbourSince = new Map(
        neighbourIds.map(id => [id, neighbourSince.get(id) ?? now]),
      );
      new Set([...neighbourIds, ...suspicions.keys()]).forEach(checkMember);
      for (const [id, lastClosedAt] of connectionClosedAt) {
        if (now - lastClosedAt > timing.silenceTimeoutMs) {
          connectionClosedAt.delete(id);
        }
      }
    },
    probe,
    recordHeartbeat: id => recordAlive(id, clock.now(), true),
    lastSeen(id, incarnation) {
      const knownMember = table.get(id);
      if (
        knownMember === undefined ||
        knownMember.update.incarnation < incarnation
      ) {
        return {heardAgoMs: -1};
      }
      const lastSeenAgoMs = clock.now() - knownMember.lastSeenDirectlyAt;
      return {heardAgoMs: Number.isFinite(lastSeenAgoMs) ? lastSeenAgoMs : -1};
    },
    recordConnectionChange(id, isOpen) {
      if (isOpen) {
        connectionClosedAt.delete(id);
        return;
      }
      connectionClosedAt.set(id, clock.now());
    },
    dump: () => ({
      probes,
      falseSuspicions,
      suspicions: [...suspicions].map(([id, {suspectedAt, silentTo}]) => ({
        id,
        ageMs: clock.now() - suspectedAt,
        silentTo: [...silentTo],
      })),
    }),
  };
}
