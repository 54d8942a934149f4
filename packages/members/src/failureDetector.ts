/**
 * Failure detector for neighbours. Missing heartbeats make a member suspect; it
 * becomes gone only when another member has received nothing either, so that
 * one broken link between two entries removes neither.
 */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import type {
  MemberUpdate,
  MemberProbeResponse,
  LastSeenResponse,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {KnownMember, MemberTable} from './memberTable.js';
import type {MemberTiming} from './timing.js';

/** Suspects silent neighbours and confirms whether they are gone. */
export interface FailureDetector {
  /** Checks the neighbours; must be called with every heartbeat. */
  check(neighbours: readonly string[]): void;
  /** Requests a member's current update; resolves with whether it answered. */
  probe(id: string): Promise<boolean>;
  /** Returns when a message from a member last arrived directly. */
  lastSeen(id: string, incarnation: number): LastSeenResponse;
  recordHeartbeat(id: string): void;
  /** Records that a neighbour's connection opened or closed. */
  connectionChanged(id: string, isOpen: boolean): void;
  dump(): unknown;
}

interface Suspicion {
  readonly since: number;
  /** Members that received nothing from the suspect either. */
  readonly silentTo: Set<string>;
  isInvestigating: boolean;
}

/** Members queried about a suspect in one round. */
const PEERS_PER_ROUND = 3;

/**
 * Creates the failure detector of one entry.
 *
 * @example
 * const failureDetector = createFailureDetector({table, network, ...rest});
 * failureDetector.check(neighbours);
 */
export function createFailureDetector(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  readonly timing: MemberTiming;
  localUpdate(): MemberUpdate;
  /** Applies the updates in a probe response. */
  applyUpdate(update: MemberUpdate): void;
  /** Called when a suspect was confirmed gone. */
  onDidConfirmGone(known: KnownMember): void;
}): FailureDetector {
  const {table, network, clock, random, decisions, timing} = options;
  const suspicions = new Map<string, Suspicion>();
  const closedAt = new Map<string, number>();
  /** When each neighbour became one; no heartbeats are due before that. */
  let neighbourSince = new Map<string, number>();
  let probes = 0;
  let falseSuspicions = 0;

  async function probe(id: string): Promise<boolean> {
    const known = table.get(id);
    const knownUpdate = known && {
      ...known.update,
      state: known.machine.state(),
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
    const known = table.get(id);
    if (known === undefined) {
      return;
    }
    known.lastSeenAt = Math.max(known.lastSeenAt, seenAt);
    if (isDirect) {
      known.lastSeenDirectlyAt = Math.max(known.lastSeenDirectlyAt, seenAt);
    }
    if (known.machine.state() === 'suspect') {
      falseSuspicions += 1;
      suspicions.delete(id);
      table.send(known, known.hasLeft ? 'left' : 'heard');
    }
  }

  async function queryPeer(peer: string, known: KnownMember): Promise<void> {
    const {id, incarnation} = known.update;
    const body = {id, incarnation};
    const response = await network
      .request(peer, 'memberWord', body, timing.probeTimeoutMs)
      .catch(() => undefined);
    if (response === undefined) {
      return;
    }
    const {heardAgoMs} = response as LastSeenResponse;
    const lastSeenAt = clock.now() - heardAgoMs;
    // A message from before the connection closed can precede a crash.
    const isFresh =
      heardAgoMs >= 0 &&
      heardAgoMs < timing.silenceTimeoutMs &&
      lastSeenAt > (closedAt.get(id) ?? -Infinity);
    if (isFresh) {
      recordAlive(id, lastSeenAt, false);
      return;
    }
    suspicions.get(id)?.silentTo.add(peer);
  }

  /** Live members other than the given one; suspects' answers do not count. */
  function liveMembersExcept(id: string): string[] {
    return [...table.all()]
      .filter(
        other => other.machine.state() === 'live' && other.update.id !== id,
      )
      .map(other => other.update.id);
  }

  async function investigate(known: KnownMember, suspicion: Suspicion) {
    suspicion.isInvestigating = true;
    const candidates = liveMembersExcept(known.update.id);
    const requests: Promise<unknown>[] = [probe(known.update.id)];
    for (
      let queries = 0;
      queries < PEERS_PER_ROUND && candidates.length > 0;
      queries++
    ) {
      const [peer] = candidates.splice(
        random.integer(0, candidates.length - 1),
        1,
      );
      requests.push(queryPeer(peer!, known));
    }
    await Promise.all(requests);
    suspicion.isInvestigating = false;
    evaluate(known, suspicion);
  }

  /** Decides whether a suspect is gone. */
  function evaluate(known: KnownMember, suspicion: Suspicion) {
    const {id} = known.update;
    const isPending = suspicions.get(id) === suspicion;
    const ageMs = clock.now() - suspicion.since;
    if (!isPending || ageMs < timing.suspicionTimeoutMs) {
      return;
    }
    const others = liveMembersExcept(id).length;
    // Without other live members the silence alone has to suffice.
    if (suspicion.silentTo.size === 0 && others > 0) {
      return;
    }
    suspicions.delete(id);
    decisions.note('members', id, 'count as gone', 'no heartbeat, confirmed', {
      silentMs: Math.round(clock.now() - known.lastSeenAt),
      confirmedBy: suspicion.silentTo.size,
      others,
    });
    options.onDidConfirmGone(known);
  }

  function silenceTimeoutMs(known: KnownMember): number {
    const closed = closedAt.get(known.update.id);
    const isClosed = closed !== undefined && closed >= known.lastSeenAt;
    return isClosed ? timing.closedSilenceTimeoutMs : timing.silenceTimeoutMs;
  }

  function markSuspect(known: KnownMember, silentMs: number) {
    const {id} = known.update;
    const suspicion = {
      since: clock.now(),
      silentTo: new Set<string>(),
      isInvestigating: false,
    };
    suspicions.set(id, suspicion);
    decisions.note('members', id, 'suspect', 'no heartbeat', {
      silentMs: Math.round(silentMs),
    });
    table.send(known, 'suspected');
    void investigate(known, suspicion);
  }

  function checkMember(id: string) {
    const known = table.get(id);
    if (known === undefined || known.machine.state() === 'gone') {
      suspicions.delete(id);
      return;
    }
    const suspicion = suspicions.get(id);
    if (suspicion !== undefined) {
      if (!suspicion.isInvestigating) {
        void investigate(known, suspicion);
      }
      return;
    }
    const silentSince = Math.max(known.lastSeenAt, neighbourSince.get(id) ?? 0);
    const silentMs = clock.now() - silentSince;
    if (silentMs > silenceTimeoutMs(known)) {
      markSuspect(known, silentMs);
    }
  }

  return {
    check(neighbours) {
      const now = clock.now();
      neighbourSince = new Map(
        neighbours.map(id => [id, neighbourSince.get(id) ?? now]),
      );
      new Set([...neighbours, ...suspicions.keys()]).forEach(checkMember);
      for (const [id, at] of closedAt) {
        if (now - at > timing.silenceTimeoutMs) {
          closedAt.delete(id);
        }
      }
    },
    probe,
    recordHeartbeat: id => recordAlive(id, clock.now(), true),
    lastSeen(id, incarnation) {
      const known = table.get(id);
      if (known === undefined || known.update.incarnation < incarnation) {
        return {heardAgoMs: -1};
      }
      const agoMs = clock.now() - known.lastSeenDirectlyAt;
      return {heardAgoMs: Number.isFinite(agoMs) ? agoMs : -1};
    },
    connectionChanged(id, isOpen) {
      if (isOpen) {
        closedAt.delete(id);
        return;
      }
      closedAt.set(id, clock.now());
    },
    dump: () => ({
      probes,
      falseSuspicions,
      suspicions: [...suspicions].map(([id, {since, silentTo}]) => ({
        id,
        ageMs: clock.now() - since,
        silentTo: [...silentTo],
      })),
    }),
  };
}
