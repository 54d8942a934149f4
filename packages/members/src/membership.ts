/** Which entries there are, as seen by one of them. */
import {
  disposableStore,
  emitter,
  every,
  type Clock,
  type DecisionLog,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {
  MemberNews,
  MemberProof,
  Messages,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {Member, Membership} from './contracts.js';
import {createGossip} from './gossip.js';
import {createHeartbeats} from './heartbeats.js';
import {createLostMembers} from './lostMembers.js';
import {createMemberObjects} from './memberObjects.js';
import {createMemberTable, toMember} from './memberTable.js';
import {createNewsIntake} from './newsIntake.js';
import {createOwnEntry, type OwnAddress} from './ownEntry.js';
import {createPauseRecovery} from './pauseRecovery.js';
import {createPeerBook} from './peerBook.js';
import {createReconciler} from './reconciler.js';
import {createSilenceDetector} from './silence.js';
import {DEFAULT_TIMING, type MemberTiming} from './timing.js';
import {dropTombstones} from './tombstones.js';
import {createWakeGuard} from './wakeGuard.js';

export type {OwnAddress} from './ownEntry.js';

/** Time for removing the own object when leaving, in milliseconds. */
const LEAVE_STORE_MS = 1_000;

/**
 * Joins the entries and follows them until disposed.
 *
 * @example
 * const membership = createMembership({self, store, network, clock, random, log, decisions});
 * membership.onDidChange(member => log.info({member}, 'member changed'));
 */
export function createMembership(options: {
  readonly self: OwnAddress;
  readonly store: ObjectStore;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly decisions: DecisionLog;
  /** Inner addresses to join through when the platform does not answer. */
  readonly seeds?: readonly string[];
  /** Requests in flight here. */
  load?(): number;
  readonly timing?: Partial<MemberTiming>;
}): Membership {
  const {network, clock, random, log, decisions} = options;
  const timing = {...DEFAULT_TIMING, ...options.timing};
  const owned = disposableStore();
  const changed = emitter<Member>();
  const gossip = createGossip();
  const guard = createWakeGuard(clock, timing.pauseMs);
  const table = createMemberTable({
    clock,
    onDidChange: known => changed.fire(toMember(known)),
  });
  const own = createOwnEntry({
    self: options.self,
    decisions,
    load: () => options.load?.() ?? 0,
  });
  const intake = createNewsIntake({
    own,
    table,
    gossip,
    onDidRefute: () => objects.checkOwn(),
  });
  const {learn} = intake;
  const silence = createSilenceDetector({
    table,
    network,
    clock,
    random,
    decisions,
    timing,
    ownNews: own.news,
    learn,
    onDidLose(known) {
      learn({...known.news, state: 'gone'});
    },
  });
  const objects = createMemberObjects({
    store: options.store,
    table,
    clock,
    random,
    log,
    decisions,
    timing,
    ownNews: own.news,
    contact: (id, value) => lostMembers.contactMember(id, value),
  });
  owned.add(objects);
  const book = createPeerBook({table, network, own: own.base});
  const reconciler = createReconciler({
    table,
    network,
    clock,
    log,
    timing,
    own: own.base,
    learn,
  });
  const lostMembers = createLostMembers({
    book,
    silence,
    reconciler,
    network,
    clock,
    random,
    log,
    seeds: options.seeds ?? [],
    contactMs: timing.contactMs,
  });
  const heartbeats = createHeartbeats({
    own,
    table,
    gossip,
    intake,
    silence,
    reconciler,
    network,
  });
  const recovery = createPauseRecovery({
    id: options.self.id,
    guard,
    table,
    silence,
    objects,
    network,
    clock,
    decisions,
  });

  /** Answers a probe, and tells the asker when it is taken for leaving or gone here. */
  function answerProbe(body: Messages['memberProbe']): MemberProof {
    if (body.believed !== undefined) {
      learn(body.believed);
    }
    learn(body.from);
    const asker = table.get(body.from.id);
    const isOut = asker !== undefined && asker.news.state !== 'live';
    return {news: own.news(), ...(isOut && {believed: asker.news})};
  }

  function tick() {
    recovery.check();
    book.refresh();
    heartbeats.send(book.neighbours());
    silence.check(book.neighbours());
    lostMembers.check();
    dropTombstones(table, clock.now(), timing.tombstoneMs);
  }

  /** Sends news to peers and waits for their answers; returns those that gave none. */
  async function tell(news: MemberNews, receivers: readonly string[]) {
    const told = await Promise.allSettled(
      receivers.map(id => network.ask(id, 'leaving', {news}, timing.probeMs)),
    );
    return receivers.filter((_, index) => told[index]?.status === 'rejected');
  }

  async function leave(): Promise<void> {
    if (!own.leave()) {
      return;
    }
    changed.fire(own.member());
    decisions.note(
      'members',
      options.self.id,
      'leave',
      'planned stop or reclaim',
    );
    const news = own.news();
    gossip.add(news);
    const untold = await tell(news, book.neighbours());
    await tell(news, untold);
    await objects
      .leave(AbortSignal.timeout(LEAVE_STORE_MS))
      .catch(error =>
        log.info({reason: String(error)}, 'the own member object stays'),
      );
  }

  function passOnLeaving(from: string, body: Messages['leaving']) {
    if (learn(body.news)) {
      // Not left to the next heartbeat: callers must not be sent there any more.
      const rest = book
        .neighbours()
        .filter(id => id !== from && id !== body.news.id);
      network.broadcast('leaving', body, rest);
    }
    return {};
  }

  owned.add(network.onDidReceive('heartbeat', heartbeats.receive));
  owned.add(network.onDidReceive('leaving', passOnLeaving));
  owned.add(
    network.onDidReceive('memberProbe', (_, body) => answerProbe(body)),
  );
  owned.add(
    network.onDidReceive('memberWord', (_, {id, incarnation}) =>
      silence.word(id, incarnation),
    ),
  );
  owned.add(
    network.onDidReceive('membersWanted', (_, {buckets}) => ({
      news: table.differing(buckets, own.news()),
    })),
  );
  owned.add(
    network.onDidChangePeer((peer, isOpen) => {
      silence.connectionChanged(peer, isOpen);
      if (isOpen) {
        void silence.probe(peer);
      }
    }),
  );
  // A random start keeps entries that began together from sending at the same moments.
  owned.add(
    clock.after(random.next() * timing.heartbeatMs, () => {
      tick();
      owned.add(every(clock, timing.heartbeatMs, tick));
    }),
  );
  const startedAt = clock.now();

  function live(): Member[] {
    return [own.member(), ...table.present().map(toMember)].filter(
      member => member.state === 'live',
    );
  }

  /** Members that are silent, or were lost so lately that they may still serve. */
  function doubtfulCount(): number {
    const suspects = table
      .present()
      .filter(({machine}) => machine.state() === 'suspect');
    const lost = book
      .lost()
      .filter(({changedAt}) => clock.now() - changedAt < timing.lostCountMs);
    return suspects.length + lost.length;
  }

  /** The listing counts only until all that are alive have been heard of: it also holds the dead. */
  function entryCount(): number | undefined {
    const count = live().length + doubtfulCount();
    const listed = objects.listedCount();
    if (listed === undefined) {
      return count > 1 ? count : undefined;
    }
    const isNew = clock.now() - startedAt < timing.contactMs;
    return isNew ? Math.max(count, listed) : count;
  }

  gossip.add(own.news());
  objects.join();
  lostMembers.contactSeeds();

  return {
    get self() {
      return own.member();
    },
    members: () => [own.member(), ...table.present().map(toMember)],
    live,
    entryCount,
    onDidChange: changed.event,
    leave,
    isCurrent: () => guard.isCurrent(),
    dump: () => ({
      self: own.member(),
      members: [...table.all()].map(known => ({
        ...toMember(known),
        sequence: known.news.sequence,
        heardAgoMs: Math.round(clock.now() - known.heardAt),
      })),
      neighbours: book.neighbours(),
      gossip: gossip.size(),
      reconciliations: reconciler.count(),
      silence: silence.dump(),
      objects: objects.dump(),
      pauses: guard.dump(),
    }),
    dispose() {
      network.broadcast('leaving', {
        news: {...own.news(), state: 'gone', sequence: own.base().sequence + 1},
      });
      owned.dispose();
    },
  };
}
