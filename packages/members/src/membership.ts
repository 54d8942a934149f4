/** Cluster membership as seen by one entry. */
import {
  createDisposableStore,
  createEmitter,
  scheduleRepeatedly,
  type Clock,
  type DecisionLog,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {
  MemberUpdate,
  MemberProbeResponse,
  Messages,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {Member, MemberState, Membership} from './contracts.js';
import {createGossipQueue} from './gossip.js';
import {createHeartbeats} from './heartbeats.js';
import {createReconnector} from './reconnector.js';
import {createMemberObjects} from './memberObjects.js';
import {createMemberTable, toMember, type KnownMember} from './memberTable.js';
import {createUpdateHandler} from './updateHandler.js';
import {createLocalMember, type LocalMemberIdentity} from './localMember.js';
import {createPauseRecovery} from './pauseRecovery.js';
import {createPeerDirectory} from './peerDirectory.js';
import {createReconciler} from './reconciler.js';
import {createFailureDetector} from './failureDetector.js';
import {DEFAULT_MEMBER_TIMING, type MemberTiming} from './timing.js';
import {pruneTombstones} from './tombstones.js';
import {createPauseDetector} from './pauseDetector.js';

export type {LocalMemberIdentity} from './localMember.js';

/** Time limit for removing this entry's object on leave, in milliseconds. */
const LEAVE_STORE_TIMEOUT_MS = 1_000;

/**
 * Joins the cluster and tracks its members until disposed.
 *
 * @example
 * const membership = createMembership({self, store, network, clock, ...rest});
 * membership.onDidChange(member => log.info({member}, 'member changed'));
 */
export function createMembership(options: {
  readonly self: LocalMemberIdentity;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly decisions: DecisionLog;
  /** Inner URLs of peers to join through when the platform is unavailable. */
  readonly seeds?: readonly string[];
  /** Number of requests in flight on this entry. */
  load?(): number;
  readonly timing?: Partial<MemberTiming>;
}): Membership {
  const {network, clock, random, log, decisions} = options;
  const timing = {...DEFAULT_MEMBER_TIMING, ...options.timing};
  const disposables = createDisposableStore();
  const didChange = createEmitter<Member>();
  const gossip = createGossipQueue();
  const pauseDetector = createPauseDetector(clock, timing.pauseThresholdMs);
  const table = createMemberTable({
    clock,
    onDidChange: knownMember => didChange.fire(toMember(knownMember)),
  });
  const localMember = createLocalMember({
    self: options.self,
    decisions,
    load: () => options.load?.() ?? 0,
  });
  const updateHandler = createUpdateHandler({
    localMember,
    table,
    gossip,
    log,
    onDidRefute: () => memberObjects.scheduleOwnObjectCheck(),
  });
  const {applyUpdate} = updateHandler;
  const failureDetector = createFailureDetector({
    table,
    network,
    clock,
    random,
    decisions,
    timing,
    localUpdate: localMember.currentUpdate,
    applyUpdate,
    onDidConfirmGone(knownMember) {
      applyUpdate({...knownMember.update, state: 'gone'});
    },
  });
  const memberObjects = createMemberObjects({
    store: options.store,
    table,
    clock,
    random,
    log,
    decisions,
    timing,
    localUpdate: localMember.currentUpdate,
    contact: (id, memberObject) => reconnector.contactMember(id, memberObject),
  });
  disposables.add(memberObjects);
  const peerDirectory = createPeerDirectory({
    table,
    network,
    localUpdate: localMember.baseUpdate,
  });
  const reconciler = createReconciler({
    table,
    network,
    clock,
    log,
    timing,
    localUpdate: localMember.baseUpdate,
    applyUpdates: updateHandler.applyUpdates,
  });
  const reconnector = createReconnector({
    peerDirectory,
    failureDetector,
    reconciler,
    network,
    clock,
    random,
    log,
    seeds: options.seeds ?? [],
    reconnectIntervalMs: timing.reconnectIntervalMs,
  });
  const heartbeats = createHeartbeats({
    localMember,
    table,
    gossip,
    updateHandler,
    failureDetector,
    reconciler,
    network,
  });
  const pauseRecovery = createPauseRecovery({
    id: options.self.id,
    pauseDetector,
    table,
    failureDetector,
    memberObjects,
    network,
    clock,
    decisions,
  });

  /**
   * Answers a probe. If this entry considers the sender leaving or gone, the
   * response contains this state, so that the sender can refute it.
   */
  function answerProbe(body: Messages['memberProbe']): MemberProbeResponse {
    if (body.believed !== undefined) {
      applyUpdate(body.believed);
    }
    applyUpdate(body.from);
    const sender = table.get(body.from.id);
    const isSenderLeavingOrGone =
      sender !== undefined && sender.update.state !== 'live';
    return {
      news: localMember.currentUpdate(),
      ...(isSenderLeavingOrGone && {believed: sender.update}),
    };
  }

  function tick() {
    pauseRecovery.check();
    peerDirectory.refresh();
    heartbeats.send(peerDirectory.neighbourIds());
    failureDetector.check(peerDirectory.neighbourIds());
    reconnector.check();
    pruneTombstones(table, clock.now(), timing.tombstoneTtlMs);
  }

  /**
   * Announces to peers that this entry leaves; returns the ids of the peers
   * that did not acknowledge the announcement.
   */
  async function announceLeaving(
    update: MemberUpdate,
    receivers: readonly string[],
  ) {
    const results = await Promise.allSettled(
      receivers.map(id =>
        network.request(id, 'leaving', {news: update}, timing.probeTimeoutMs),
      ),
    );
    return receivers.filter(
      (_, index) => results[index]?.status === 'rejected',
    );
  }

  async function leave(): Promise<void> {
    if (!localMember.leave()) {
      return;
    }
    didChange.fire(localMember.member());
    decisions.recordDecision(
      'members',
      options.self.id,
      'leave',
      'planned stop or reclaim',
    );
    const update = localMember.currentUpdate();
    gossip.add(update);
    const unacknowledgedIds = await announceLeaving(
      update,
      peerDirectory.neighbourIds(),
    );
    await announceLeaving(update, unacknowledgedIds);
    await memberObjects
      .leave(AbortSignal.timeout(LEAVE_STORE_TIMEOUT_MS))
      .catch(error =>
        log.info({reason: String(error)}, 'failed to remove own member object'),
      );
  }

  function relayLeaving(from: string, body: Messages['leaving']) {
    if (applyUpdate(body.news)) {
      // Relayed without waiting for the next heartbeat, so that callers are
      // routed away from the leaving entry at once.
      const receivers = peerDirectory
        .neighbourIds()
        .filter(id => id !== from && id !== body.news.id);
      network.broadcast('leaving', body, receivers);
    }
    return {};
  }

  disposables.add(network.addHandler('heartbeat', heartbeats.receive));
  disposables.add(network.addHandler('leaving', relayLeaving));
  disposables.add(
    network.addHandler('memberProbe', (_, body) => answerProbe(body)),
  );
  disposables.add(
    network.addHandler('memberWord', (_, {id, incarnation}) =>
      failureDetector.lastSeen(id, incarnation),
    ),
  );
  disposables.add(
    network.addHandler('membersWanted', (_, {buckets}) => ({
      news: table.differingUpdates(buckets, localMember.currentUpdate()),
    })),
  );
  disposables.add(
    network.onDidChangePeer((peer, isOpen) => {
      failureDetector.recordConnectionChange(peer, isOpen);
      if (isOpen) {
        void failureDetector.probe(peer);
      }
    }),
  );
  // Random phase: entries started together must not send heartbeats in sync.
  disposables.add(
    clock.after(random.next() * timing.heartbeatIntervalMs, () => {
      tick();
      disposables.add(
        scheduleRepeatedly(clock, timing.heartbeatIntervalMs, tick),
      );
    }),
  );
  const startedAt = clock.now();

  function liveMembers(): Member[] {
    const self = localMember.member();
    return [
      ...(self.state === 'live' ? [self] : []),
      ...presentMembersIn('live').map(toMember),
    ];
  }

  function presentMembersIn(state: MemberState): KnownMember[] {
    return table
      .presentMembers()
      .filter(({machine}) => machine.state() === state);
  }

  /** Counts suspects and recently lost members, which may still accept work. */
  function countPossiblyLive(): number {
    const recentlyLostMembers = peerDirectory
      .lostMembers()
      .filter(({changedAt}) => clock.now() - changedAt < timing.lostGraceMs);
    return presentMembersIn('suspect').length + recentlyLostMembers.length;
  }

  /**
   * The platform's list may include dead members, so its size is considered
   * only in the first `reconnectIntervalMs` after the start.
   */
  function entryCount(): number | undefined {
    const liveCount =
      presentMembersIn('live').length +
      (localMember.baseUpdate().state === 'live' ? 1 : 0);
    const count = liveCount + countPossiblyLive();
    const listedCount = memberObjects.listedCount();
    if (listedCount === undefined) {
      return count > 1 ? count : undefined;
    }
    const isStarting = clock.now() - startedAt < timing.reconnectIntervalMs;
    return isStarting ? Math.max(count, listedCount) : count;
  }

  gossip.add(localMember.currentUpdate());
  memberObjects.join();
  reconnector.contactSeeds();

  return {
    get self() {
      return localMember.member();
    },
    members: () => [
      localMember.member(),
      ...table.presentMembers().map(toMember),
    ],
    liveMembers,
    entryCount,
    onDidChange: didChange.event,
    announceUnreachable(services) {
      if (localMember.setUnreachable(services)) {
        gossip.add(localMember.currentUpdate());
        // Sent without waiting for the next heartbeat, so that other entries
        // soon stop directing callers and requests to this one.
        heartbeats.send(peerDirectory.neighbourIds());
      }
    },
    recordStoreEra: memberObjects.recordStoreEra,
    leave,
    isCurrent: () => pauseDetector.isCurrent(),
    dump: () => ({
      self: localMember.member(),
      members: [...table.all()].map(knownMember => ({
        ...toMember(knownMember),
        sequence: knownMember.update.sequence,
        heardAgoMs: Math.round(clock.now() - knownMember.lastSeenAt),
      })),
      neighbours: peerDirectory.neighbourIds(),
      gossip: gossip.size(),
      reconciliations: reconciler.fetchCount(),
      silence: failureDetector.dump(),
      objects: memberObjects.dump(),
      pauses: pauseDetector.dump(),
    }),
    dispose() {
      network.broadcast('leaving', {
        news: {
          ...localMember.currentUpdate(),
          state: 'gone',
          sequence: localMember.baseUpdate().sequence + 1,
        },
      });
      disposables.dispose();
    },
  };
}
