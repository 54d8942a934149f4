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
import type {ObjectStore} from '@skylarkfield/platform';
import type {
  MemberChange,
  MemberNews,
  MemberProof,
  Messages,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {Member, Membership} from './contracts.js';
import {createGossip} from './gossip.js';
import {createMemberObjects, type MemberObject} from './memberObjects.js';
import {createMemberTable, toMember} from './memberTable.js';
import {checkNews} from './newsShape.js';
import {createPeerBook} from './peerBook.js';
import {createReconciler} from './reconciler.js';
import {createSilenceDetector} from './silence.js';
import {DEFAULT_TIMING, type MemberTiming} from './timing.js';
import {createWakeGuard} from './wakeGuard.js';

/** What an entry says of itself when it starts. */
export interface OwnAddress {
  readonly id: string;
  /** Higher than that of any earlier process of this id: wall-clock milliseconds do. */
  readonly incarnation: number;
  readonly callerUrl: string;
  readonly innerUrl: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Tombstones kept at most, the oldest dropped first. */
const MOST_TOMBSTONES = 4_096;
/** Time for a second round of saying goodbye, and for removing the own object. */
const LEAVE_STORE_MS = 1_000;
/** Peers asked at once after a pause. */
const WAKE_PROBES = 3;

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
  let own: MemberNews = {
    ...options.self,
    sequence: 0,
    state: 'live',
    load: 0,
  };
  let contactedAt = clock.now();

  function ownNews(): MemberNews {
    return {...own, load: options.load?.() ?? 0};
  }

  const silence = createSilenceDetector({
    table,
    network,
    clock,
    random,
    decisions,
    timing,
    ownNews,
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
    ownNews,
    contact: contactMember,
  });
  owned.add(objects);
  const book = createPeerBook({table, network, own: () => own});
  const reconciler = createReconciler({
    table,
    network,
    clock,
    log,
    timing,
    own: () => own,
    learn,
  });

  /** Takes news in, and queues for the peers what was new. */
  function learn(news: MemberNews): boolean {
    checkNews(news);
    if (news.id === own.id) {
      refute(news);
      return false;
    }
    // Suspicion is each entry's own matter; as news it would be passed on long after.
    const settled: MemberNews =
      news.state === 'suspect' ? {...news, state: 'live'} : news;
    if (!table.apply(settled)) {
      return false;
    }
    gossip.add(settled);
    return true;
  }

  /** A change of a member that is not known here says nothing worth keeping. */
  function learnChange(change: MemberChange) {
    const known = change.id === own.id ? own : table.get(change.id)?.news;
    if (known !== undefined) {
      learn({...known, ...change});
    }
  }

  /** Others take this process for gone, or for an earlier or later one: it says otherwise. */
  function refute(news: MemberNews) {
    if (news.incarnation < own.incarnation) {
      return;
    }
    const isLater = news.incarnation > own.incarnation;
    const isOut = news.state === 'leaving' || news.state === 'gone';
    const isWrong = isOut && news.state !== own.state;
    if (!isLater && (news.sequence < own.sequence || !isWrong)) {
      return;
    }
    const incarnation = isLater ? news.incarnation + 1 : own.incarnation;
    own = {...own, incarnation, sequence: news.sequence + 1};
    decisions.note('members', own.id, 'refute', `taken for ${news.state}`, {
      incarnation: news.incarnation,
      sequence: news.sequence,
    });
    gossip.add(ownNews());
    objects.checkOwn();
  }

  function knownNodes() {
    return [...table.all()].filter(known => known.machine.state() !== 'gone');
  }

  /** Tries a member that is known by its object or seed only. */
  async function contactMember(
    id: string,
    value: MemberObject,
  ): Promise<boolean> {
    book.addContact(id, value.innerUrl);
    const answered = await silence.probe(id);
    book.removeContact(id);
    if (answered) {
      await reconciler.fetch(id);
    }
    return answered;
  }

  async function contactSeed(url: string): Promise<void> {
    try {
      const id = await network.dial(url);
      if (await silence.probe(id)) {
        await reconciler.fetch(id);
      }
    } catch (error) {
      log.debug({url, reason: String(error)}, 'a seed does not answer');
    }
  }

  function heartbeat() {
    const {news, changes} = gossip.take();
    const {incarnation, sequence, load} = ownNews();
    const digest = table.digestWith(own);
    network.broadcast(
      'heartbeat',
      {
        incarnation,
        sequence,
        load,
        news,
        digest,
        ...(changes.length > 0 && {changes}),
      },
      book.neighbours(),
    );
  }

  function hearHeartbeat(from: string, body: Messages['heartbeat']) {
    body.news.forEach(learn);
    body.changes?.forEach(learnChange);
    const known = table.get(from);
    const isKnown =
      known !== undefined &&
      known.machine.state() !== 'gone' &&
      known.news.incarnation === body.incarnation &&
      known.news.sequence >= body.sequence;
    if (!isKnown) {
      // Its probe answer brings its addresses, and refutes what we believe.
      void silence.probe(from);
      return;
    }
    known.load = body.load;
    silence.heard(from);
    reconciler.compare(from, body.digest);
  }

  function prove(body: Messages['memberProbe']): MemberProof {
    if (body.believed !== undefined) {
      learn(body.believed);
    }
    learn(body.from);
    const asker = table.get(body.from.id);
    const isOut = asker !== undefined && asker.news.state !== 'live';
    return {news: ownNews(), ...(isOut && {believed: asker.news})};
  }

  /** One lost member a time: a healed cut is found without a storm of attempts. */
  function contactLost() {
    const now = clock.now();
    const isAlone = book.neighbours().length === 0;
    if (now - contactedAt < timing.contactMs) {
      return;
    }
    contactedAt = now;
    const lost = random.pick(book.lost());
    if (lost !== undefined) {
      void silence.probe(lost.news.id);
    }
    const seed = random.pick(options.seeds ?? []);
    if (isAlone && seed !== undefined) {
      void contactSeed(seed);
    }
  }

  function dropTombstones() {
    const now = clock.now();
    const gone = [...table.all()]
      .filter(known => known.machine.state() === 'gone')
      .sort((a, b) => a.changedAt - b.changedAt);
    const surplus = gone.length - MOST_TOMBSTONES;
    gone.forEach((known, index) => {
      const isOld = now - known.changedAt > timing.tombstoneMs;
      if (isOld || index < surplus) {
        table.forget(known.news.id);
      }
    });
  }

  async function confirmAfterPause(): Promise<void> {
    const askedAt = clock.now();
    if (knownNodes().length === 0) {
      guard.confirm(askedAt);
      return;
    }
    const reachable = objects.confirmReachable();
    const peers = network.connected().slice(0, WAKE_PROBES);
    const answers = [...peers.map(id => silence.probe(id)), reachable];
    for (const answer of answers) {
      void answer.then(isAnswered => {
        if (isAnswered) {
          guard.confirm(askedAt);
        }
      });
    }
    await Promise.all(answers);
  }

  /** The silence during a pause was ours: nobody is judged by it. */
  function forgiveSilence(pauseMs: number) {
    const now = clock.now();
    decisions.note('members', own.id, 'hold back', 'was paused', {
      pauseMs: Math.round(pauseMs),
    });
    for (const known of table.all()) {
      known.heardAt = now;
    }
  }

  function tick() {
    const pauseMs = guard.tick();
    if (pauseMs > 0) {
      forgiveSilence(pauseMs);
    }
    if (!guard.isCurrent()) {
      void confirmAfterPause();
    }
    book.refresh();
    heartbeat();
    silence.check(book.neighbours());
    contactLost();
    dropTombstones();
  }

  async function tell(news: MemberNews, receivers: readonly string[]) {
    const told = await Promise.allSettled(
      receivers.map(id => network.ask(id, 'leaving', {news}, timing.probeMs)),
    );
    return receivers.filter((_, index) => told[index]?.status === 'rejected');
  }

  async function leave(): Promise<void> {
    if (own.state === 'leaving') {
      return;
    }
    own = {...own, state: 'leaving', sequence: own.sequence + 1};
    changed.fire(ownMember());
    decisions.note('members', own.id, 'leave', 'planned stop or reclaim');
    const news = ownNews();
    gossip.add(news);
    const untold = await tell(news, book.neighbours());
    await tell(news, untold);
    await objects
      .leave(AbortSignal.timeout(LEAVE_STORE_MS))
      .catch(error =>
        log.info({reason: String(error)}, 'the own member object stays'),
      );
  }

  function ownMember(): Member {
    const {id, incarnation, state, callerUrl, innerUrl} = own;
    const {failureDomain, region} = own;
    const load = options.load?.() ?? 0;
    return {
      id,
      incarnation,
      state,
      callerUrl,
      innerUrl,
      failureDomain,
      region,
      load,
    };
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

  owned.add(network.onDidReceive('heartbeat', hearHeartbeat));
  owned.add(network.onDidReceive('leaving', passOnLeaving));
  owned.add(network.onDidReceive('memberProbe', (_, body) => prove(body)));
  owned.add(
    network.onDidReceive('memberWord', (_, {id, incarnation}) =>
      silence.word(id, incarnation),
    ),
  );
  owned.add(
    network.onDidReceive('membersWanted', (_, {buckets}) => ({
      news: table.differing(buckets, ownNews()),
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
  // A random start keeps entries that began together from beating together.
  owned.add(
    clock.after(random.next() * timing.heartbeatMs, () => {
      tick();
      owned.add(every(clock, timing.heartbeatMs, tick));
    }),
  );
  gossip.add(ownNews());
  objects.join();
  for (const seed of options.seeds ?? []) {
    void contactSeed(seed);
  }

  return {
    get self() {
      return ownMember();
    },
    members: () => [ownMember(), ...knownNodes().map(toMember)],
    live: () =>
      [ownMember(), ...knownNodes().map(toMember)].filter(
        member => member.state === 'live',
      ),
    onDidChange: changed.event,
    leave,
    isCurrent: () => guard.isCurrent(),
    dump: () => ({
      self: ownMember(),
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
        news: {...ownNews(), state: 'gone', sequence: own.sequence + 1},
      });
      owned.dispose();
    },
  };
}
