/**
 * Mirrors of the platform's objects, which a few entries read from the platform
 * and send to all other entries.
 */
import {
  createDisposableStore,
  ServingError,
  type Clock,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {
  Messages,
  MirrorSnapshot,
  MirrorKind,
  SyncStatus,
  PeerNetwork,
} from '@skylarkfield/protocol';
import {
  earlierTimestamp,
  type Timestamp,
  type DomainDrain,
  type RegisteredEndpoint,
  type Rollout,
  type TrafficPolicy,
} from '@skylarkfield/traffic';
import type {CrashReport} from '@skylarkfield/routing';
import type {Platform, ObjectSource} from '../contracts.js';
import {createMirror, type Mirror} from './mirror.js';
import {
  startMirrorReader,
  type MirrorReader,
  type ReadTiming,
} from './mirrorReader.js';
import {
  isReadableSnapshot,
  isReadableStatus,
  isReadableStep,
} from './peerContents.js';
import type {RelayPlan} from '../digests/relayPlan.js';
import {
  retentionRules,
  type MirroredValues,
  type RetentionRule,
} from './retentionRules.js';

/** Sync status of each mirror, in the form that digests carry. */
export type SyncStatuses = Messages['digest']['mirrors'];

export interface PlatformView extends Disposable {
  readonly policy: Mirror<TrafficPolicy>;
  readonly endpoints: Mirror<RegisteredEndpoint>;
  readonly rollouts: Mirror<Rollout>;
  /** Reports of endpoint crashes, one persisted by each entry. */
  readonly crashes: Mirror<CrashReport>;
  readonly domainDrains: Mirror<DomainDrain>;
  syncStatuses(): SyncStatuses;
  /**
   * Applies the sync statuses in a peer's digest: fetches a copy of each mirror
   * that the peer has a newer version of, and confirms the other mirrors.
   * `timestamp` is a time before the digest was sent; undefined if not known.
   */
  recordSyncStatuses(
    peer: string,
    syncStatuses: SyncStatuses,
    timestamp: Timestamp | undefined,
  ): void;
  dump(): unknown;
}

/**
 * Timing of the reads of each kind of object. The policy is read most often,
 * and its first listing must be up to date, since the age of the mirrored
 * policy decides whether a key is accepted. Changes of endpoints are received
 * together in large fleets, those of the other kinds as they happen; the long-poll timeout only bounds how long a dead
 * connection goes undetected. Crashes and drains of failure domains have to reach
 * all entries within a few seconds.
 */
const READ_TIMINGS: Readonly<Record<MirrorKind, ReadTiming>> = {
  policy: {waitMs: 1_000, graceMs: 700, firstListing: 'latest'},
  endpoints: {
    waitMs: 1_500,
    graceMs: 700,
    firstListing: 'recent',
    changeInterval: {msPerObject: 2, maxMs: 300},
  },
  rollouts: {waitMs: 6_000, graceMs: 1_500, firstListing: 'recent'},
  crashes: {waitMs: 2_400, graceMs: 600, firstListing: 'recent'},
  domainDrains: {waitMs: 2_400, graceMs: 600, firstListing: 'recent'},
};

/** Timeout of fetching a copy of a mirror from a peer, in milliseconds. */
const COPY_TIMEOUT_MS = 1_000;

/**
 * Time for which a peer's sync status is valid, in milliseconds; it expires
 * after three missed digests.
 */
const STATUS_TTL_MS = 1_000;

/**
 * Creates the view and starts mirroring the platform's objects into it.
 *
 * @example
 * const view = createPlatformView({platform, crashReports, network, self:
 *   'a1', plan, clock, random, log});
 */
export function createPlatformView(options: {
  readonly platform: Platform;
  readonly crashReports: ObjectSource<CrashReport>;
  readonly network: PeerNetwork;
  readonly self: string;
  plan(): RelayPlan;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}): PlatformView {
  const {platform, network, self, clock, random, log} = options;
  const disposables = createDisposableStore();

  function createRetainingMirror<K extends MirrorKind>(
    kind: K,
  ): Mirror<MirroredValues[K]> {
    const rule: RetentionRule<MirroredValues[K]> = retentionRules[kind];
    return disposables.add(createMirror({kind, rule, clock, log}));
  }

  const mirrors = {
    policy: createRetainingMirror('policy'),
    endpoints: createRetainingMirror('endpoints'),
    rollouts: createRetainingMirror('rollouts'),
    crashes: createRetainingMirror('crashes'),
    domainDrains: createRetainingMirror('domainDrains'),
  };
  const mirrorKinds = Object.keys(mirrors) as MirrorKind[];
  const mirrorReaders = new Map<MirrorKind, MirrorReader>();
  const peerStatuses = new Map<
    string,
    {receivedAt: number; syncStatuses: SyncStatuses}
  >();
  const fetchingKinds = new Set<MirrorKind>();

  function isReadBy(peer: string, kind: MirrorKind): boolean {
    return (
      hasFreshStatus(peer) &&
      peerStatuses.get(peer)!.syncStatuses[kind]?.isReader === true
    );
  }

  /**
   * Whether this entry should read a kind itself: no coordinator with higher
   * precedence reads it successfully. An entry behind relays reads only while
   * none of its relays sends digests.
   */
  function shouldRead(kind: MirrorKind): boolean {
    const {coordinatorIds, relayIds} = options.plan();
    if (relayIds.length > 0) {
      return !relayIds.some(hasFreshStatus);
    }
    const position = coordinatorIds.indexOf(self);
    const predecessors =
      position < 0 ? coordinatorIds : coordinatorIds.slice(0, position);
    return !predecessors.some(id => isReadBy(id, kind));
  }

  function hasFreshStatus(peer: string): boolean {
    const peerStatus = peerStatuses.get(peer);
    return (
      peerStatus !== undefined &&
      clock.now() - peerStatus.receivedAt < STATUS_TTL_MS
    );
  }

  function isRelay(): boolean {
    return [...options.plan().targets.values()].includes('rest');
  }

  function startReader<T>(mirror: Mirror<T>, source: ObjectSource<T>): void {
    const reader = startMirrorReader({
      mirror,
      source,
      clock,
      random,
      log,
      timing: READ_TIMINGS[mirror.kind],
      shouldRead: () => shouldRead(mirror.kind),
      onDidStep: step => broadcastStep({kind: mirror.kind, ...step}, self),
    });
    mirrorReaders.set(mirror.kind, disposables.add(reader));
  }

  async function fetchCopy(kind: MirrorKind, peer: string): Promise<void> {
    if (fetchingKinds.has(kind)) {
      return;
    }
    fetchingKinds.add(kind);
    try {
      const snapshot = await network.request(
        peer,
        'mirrorWanted',
        {kind},
        COPY_TIMEOUT_MS,
      );
      if (!isReadableSnapshot(snapshot as MirrorSnapshot)) {
        throw new ServingError('protocol-violation', 'malformed mirror copy');
      }
      mirrors[kind].applyCopy(snapshot as MirrorSnapshot);
    } catch (error) {
      log.info(
        {mirror: kind, peer, reason: String(error)},
        'fetching the mirror copy failed',
      );
    } finally {
      fetchingKinds.delete(kind);
    }
  }

  function recordSyncStatus(
    kind: MirrorKind,
    peer: string,
    syncStatus: SyncStatus,
    timestamp: Timestamp | undefined,
  ): void {
    const mirror = mirrors[kind];
    if (mirror.lacksContentOf(syncStatus)) {
      void fetchCopy(kind, peer);
    }
    if (timestamp === undefined || syncStatus.confirmedAgoMs < 0) {
      return;
    }
    mirror.confirmByPeer(
      syncStatus,
      earlierTimestamp(timestamp, syncStatus.confirmedAgoMs),
    );
  }

  function broadcastStep(step: Messages['mirrorChanges'], from: string): void {
    const receivers = [...options.plan().targets.keys()];
    network.broadcast(
      'mirrorChanges',
      step,
      receivers.filter(id => id !== from),
    );
  }

  disposables.add(
    network.addHandler('mirrorChanges', (from, step) => {
      if (!Object.hasOwn(mirrors, step.kind) || !isReadableStep(step)) {
        throw new ServingError('protocol-violation', 'malformed mirror step');
      }
      const mirror = mirrors[step.kind];
      const previousRevision = mirror.revision();
      if (!mirror.applyStep(step)) {
        void fetchCopy(step.kind, from);
        return;
      }
      // In a full mesh, the sender has sent the step to all entries. Behind a
      // relay, only the relay forwards the step.
      if (mirror.revision() > previousRevision && isRelay()) {
        broadcastStep(step, from);
      }
    }),
  );
  disposables.add(
    network.addHandler('mirrorWanted', (_, {kind}) => mirrors[kind].copy()),
  );
  startReader(mirrors.policy, platform.policySource);
  startReader(mirrors.endpoints, platform.endpointSource);
  startReader(mirrors.rollouts, platform.rolloutSource);
  startReader(mirrors.crashes, options.crashReports);
  startReader(mirrors.domainDrains, platform.domainDrainSource);

  return {
    ...mirrors,
    syncStatuses: () =>
      Object.fromEntries(
        mirrorKinds.map(kind => [
          kind,
          mirrors[kind].syncStatus(isReading(kind)),
        ]),
      ) as Record<MirrorKind, SyncStatus>,
    recordSyncStatuses(peer, syncStatuses, timestamp) {
      peerStatuses.set(peer, {receivedAt: clock.now(), syncStatuses});
      for (const kind of mirrorKinds) {
        const syncStatus = syncStatuses[kind];
        if (isReadableStatus(syncStatus)) {
          recordSyncStatus(kind, peer, syncStatus!, timestamp);
        }
      }
    },
    dump: () =>
      Object.fromEntries(
        mirrorKinds.map(kind => [
          kind,
          {
            ...mirrors[kind].syncStatus(isReading(kind)),
            objects: mirrors[kind].items().length,
            reader: mirrorReaders.get(kind)?.dump(),
          },
        ]),
      ),
    dispose: () => disposables.dispose(),
  };

  function isReading(kind: MirrorKind): boolean {
    return mirrorReaders.get(kind)?.isReading() ?? false;
  }
}
