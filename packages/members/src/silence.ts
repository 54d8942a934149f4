/**
 * Finds neighbours that have fallen silent. Silence alone makes a member
 * suspect; only another member's word that it is silent there too makes it
 * gone, so that one broken way between two entries removes neither.
 */
import type {Clock, DecisionLog, Random} from '@skylarkfield/base';
import type {
  MemberNews,
  MemberProof,
  MemberWord,
  PeerNetwork,
} from '@skylarkfield/protocol';
import type {KnownMember, MemberTable} from './memberTable.js';
import type {MemberTiming} from './timing.js';

/** Suspects silent neighbours, and finds out whether they are gone. */
export interface SilenceDetector {
  /** Judges the neighbours; call it with every heartbeat. */
  check(neighbours: readonly string[]): void;
  /** Asks a member for its news now; false when it did not answer. */
  probe(id: string): Promise<boolean>;
  /** What this entry may say of another one it has heard itself. */
  word(id: string, incarnation: number): MemberWord;
  /** A member has just been heard. */
  heard(id: string): void;
  /** A neighbour's connection opened or closed. */
  connectionChanged(id: string, isOpen: boolean): void;
  dump(): unknown;
}

interface Suspicion {
  readonly since: number;
  /** Members that have not heard it either. */
  readonly silentTo: Set<string>;
  isAsking: boolean;
}

/** Members asked for their word in one round. */
const WORDS_PER_ROUND = 3;

/**
 * Makes the detector of one entry.
 *
 * @example
 * const silence = createSilenceDetector({table, network, clock, ...rest});
 * silence.check(neighbours);
 */
export function createSilenceDetector(options: {
  readonly table: MemberTable;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: Random;
  readonly decisions: DecisionLog;
  readonly timing: MemberTiming;
  ownNews(): MemberNews;
  /** Takes in news that a member gave of itself. */
  learn(news: MemberNews): void;
  /** A silent member was confirmed gone. */
  onDidLose(known: KnownMember): void;
}): SilenceDetector {
  const {table, network, clock, random, decisions, timing} = options;
  const suspicions = new Map<string, Suspicion>();
  const closedAt = new Map<string, number>();
  /** Since when a member is a neighbour: before, nobody promised heartbeats. */
  let watchedSince = new Map<string, number>();
  let probes = 0;
  let falseSuspicions = 0;

  async function probe(id: string): Promise<boolean> {
    const known = table.get(id);
    const believed = known && {...known.news, state: known.machine.state()};
    const startedAt = clock.now();
    probes += 1;
    try {
      const from = options.ownNews();
      const body = {from, ...(believed && {believed})};
      const proof = (await network.ask(
        id,
        'memberProbe',
        body,
        timing.probeMs,
      )) as MemberProof;
      options.learn(proof.news);
      if (proof.believed !== undefined) {
        options.learn(proof.believed);
      }
    } catch {
      return false;
    }
    noteLife(id, startedAt, true);
    return true;
  }

  function noteLife(id: string, at: number, isDirect: boolean) {
    const known = table.get(id);
    if (known === undefined) {
      return;
    }
    known.heardAt = Math.max(known.heardAt, at);
    if (isDirect) {
      known.heardDirectlyAt = Math.max(known.heardDirectlyAt, at);
    }
    if (known.machine.state() === 'suspect') {
      falseSuspicions += 1;
      suspicions.delete(id);
      table.send(known, known.hasLeft ? 'left' : 'heard');
    }
  }

  async function askWord(witness: string, known: KnownMember): Promise<void> {
    const {id, incarnation} = known.news;
    const body = {id, incarnation};
    const answer = await network
      .ask(witness, 'memberWord', body, timing.probeMs)
      .catch(() => undefined);
    if (answer === undefined) {
      return;
    }
    const {heardAgoMs} = answer as MemberWord;
    const heardAt = clock.now() - heardAgoMs;
    // A word from before its connection to us closed doesn't speak against a crash.
    const isFresh =
      heardAgoMs >= 0 &&
      heardAgoMs < timing.suspectMs &&
      heardAt > (closedAt.get(id) ?? -Infinity);
    if (isFresh) {
      noteLife(id, heardAt, false);
      return;
    }
    suspicions.get(id)?.silentTo.add(witness);
  }

  /** Live members other than the suspect; the word of a suspect counts for nothing. */
  function witnesses(id: string): string[] {
    return [...table.all()]
      .filter(other => other.machine.state() === 'live' && other.news.id !== id)
      .map(other => other.news.id);
  }

  async function investigate(known: KnownMember, suspicion: Suspicion) {
    suspicion.isAsking = true;
    const rest = witnesses(known.news.id);
    const asked: Promise<unknown>[] = [probe(known.news.id)];
    for (let round = 0; round < WORDS_PER_ROUND && rest.length > 0; round++) {
      const [witness] = rest.splice(random.integer(0, rest.length - 1), 1);
      asked.push(askWord(witness!, known));
    }
    await Promise.all(asked);
    suspicion.isAsking = false;
    judge(known, suspicion);
  }

  /** Decides whether a suspect is gone. */
  function judge(known: KnownMember, suspicion: Suspicion) {
    const {id} = known.news;
    const isOpen = suspicions.get(id) === suspicion;
    const age = clock.now() - suspicion.since;
    if (!isOpen || age < timing.goneMs) {
      return;
    }
    const others = witnesses(id).length;
    // Without any other live member there is nobody to ask.
    if (suspicion.silentTo.size === 0 && others > 0) {
      return;
    }
    suspicions.delete(id);
    decisions.note('members', id, 'count as gone', 'silent, and confirmed', {
      silentMs: Math.round(clock.now() - known.heardAt),
      confirmedBy: suspicion.silentTo.size,
      others,
    });
    options.onDidLose(known);
  }

  function silenceLimit(known: KnownMember): number {
    const closed = closedAt.get(known.news.id);
    const isClosed = closed !== undefined && closed >= known.heardAt;
    return isClosed ? timing.closedSuspectMs : timing.suspectMs;
  }

  function suspect(known: KnownMember, silentMs: number) {
    const {id} = known.news;
    const suspicion = {
      since: clock.now(),
      silentTo: new Set<string>(),
      isAsking: false,
    };
    suspicions.set(id, suspicion);
    decisions.note('members', id, 'suspect', 'no heartbeat', {
      silentMs: Math.round(silentMs),
    });
    table.send(known, 'suspected');
    void investigate(known, suspicion);
  }

  function checkOne(id: string) {
    const known = table.get(id);
    if (known === undefined || known.machine.state() === 'gone') {
      suspicions.delete(id);
      return;
    }
    const suspicion = suspicions.get(id);
    if (suspicion !== undefined) {
      if (!suspicion.isAsking) {
        void investigate(known, suspicion);
      }
      return;
    }
    const since = Math.max(known.heardAt, watchedSince.get(id) ?? 0);
    const silentMs = clock.now() - since;
    if (silentMs > silenceLimit(known)) {
      suspect(known, silentMs);
    }
  }

  return {
    check(neighbours) {
      const now = clock.now();
      watchedSince = new Map(
        neighbours.map(id => [id, watchedSince.get(id) ?? now]),
      );
      new Set([...neighbours, ...suspicions.keys()]).forEach(checkOne);
      for (const [id, at] of closedAt) {
        if (now - at > timing.suspectMs) {
          closedAt.delete(id);
        }
      }
    },
    probe,
    heard: id => noteLife(id, clock.now(), true),
    word(id, incarnation) {
      const known = table.get(id);
      if (known === undefined || known.news.incarnation < incarnation) {
        return {heardAgoMs: -1};
      }
      const agoMs = clock.now() - known.heardDirectlyAt;
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
