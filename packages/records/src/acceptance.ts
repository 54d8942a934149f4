/**
 * The acceptance duty: validates the records that operators write, converts
 * them, stores the accepted form and reports a status.
 *
 * Correctness does not depend on a single acceptor. Each write is conditional
 * on the version that was read, and a source version never decreases, so
 * acceptors that race or resume after a pause cannot revert an accepted change.
 */
import {
  createDisposableStore,
  scheduleRepeatedly,
  isServingError,
  sleep,
  type Clock,
  type DecisionLog,
  type Disposable,
  type Logger,
  type Random,
} from '@skylarkfield/base';
import type {ObjectStore} from '@skylarkfield/providers';
import type {RecordVersion} from '@skylarkfield/protocol';
import {
  decideAcceptance,
  type AcceptanceDecision,
} from './acceptanceDecision.js';
import type {AcceptedObject} from './acceptedSchemas.js';
import {ACCEPTED_KIND} from './configuration.js';
import {createMoveClaims} from './moveClaims.js';
import {createRecordCache} from './recordCache.js';
import {recordKey} from './recordTable.js';
import {createStatusWriter} from './statusWriter.js';
import {unchangedCondition} from './writeCondition.js';

export interface AcceptanceController extends Disposable {
  dump(): {
    readonly isComplete: boolean;
    readonly waiting: readonly string[];
    readonly unconfirmed: readonly RecordVersion[];
  };
}

export interface AcceptanceControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly log: Logger;
  readonly decisions?: DecisionLog;
  /**
   * Called with every accepted object, to apply it in this process and relay it
   * to peers: the readers may be cut off from the platform while the acceptor
   * is not.
   */
  readonly onDidAccept?: (key: string, accepted: AcceptedObject) => void;
  /**
   * Returns whether this process certainly holds the duty; called right before
   * each write.
   */
  readonly canAct: () => boolean;
  /**
   * Returns the ids of live members that lack any of the records or did not
   * respond.
   */
  readonly membersLacking: (
    records: readonly RecordVersion[],
  ) => Promise<readonly string[]>;
}

const CONFIRMATION_CHECK_INTERVAL_MS = 250;
/**
 * Interval at which moves are decided on again: a rejected move may become
 * valid when the deadline of another move passes.
 */
const MOVE_RECHECK_INTERVAL_MS = 10_000;
const RETRY_DELAY_MS = 300;

/**
 * Starts to accept records; the caller disposes the result when the duty is
 * lost.
 *
 * @example
 * dutyElections.compete('acceptance', term =>
 *   createAcceptanceController({...options, canAct: () => term.isValid()}),
 * );
 */
export function createAcceptanceController(
  options: AcceptanceControllerOptions,
): AcceptanceController {
  const {clock, random, store, log, decisions} = options;
  const disposables = createDisposableStore();
  const abortController = new AbortController();
  const dirtyKeys = new Set<string>();
  let isProcessing = false;
  let isCheckingConfirmations = false;

  const cache = disposables.add(
    createRecordCache({
      store,
      onDidChange: key => markDirty([key]),
      onDidAccept: options.onDidAccept,
    }),
  );
  const statusWriter = createStatusWriter({
    clock,
    store,
    canAct,
    signal: abortController.signal,
  });

  const moveClaims = createMoveClaims({
    clock,
    store,
    cache,
    signal: abortController.signal,
  });

  function canAct(): boolean {
    return !disposables.isDisposed && options.canAct();
  }

  function markDirty(keys: readonly string[]): void {
    for (const key of keys) {
      dirtyKeys.add(key);
    }
    void processDirtyKeys();
  }

  /** Reconciles the dirty records one at a time until none is left. */
  async function processDirtyKeys(): Promise<void> {
    if (isProcessing || !cache.isComplete()) {
      return;
    }
    isProcessing = true;
    try {
      for (const key of cache.sortByDependency(dirtyKeys)) {
        if (!canAct()) {
          return;
        }
        dirtyKeys.delete(key);
        await reconcileWithRetry(key);
      }
    } finally {
      isProcessing = false;
    }
    if (dirtyKeys.size > 0 && canAct()) {
      void processDirtyKeys();
    }
  }

  async function reconcileWithRetry(key: string): Promise<void> {
    try {
      await reconcile(key);
    } catch (error) {
      if (abortController.signal.aborted) {
        return;
      }
      dirtyKeys.add(key);
      if (isServingError(error, 'version-conflict')) {
        await reloadAfterConflict(key);
        return;
      }
      log.warn(
        {err: error, record: key},
        'failed to reconcile record; retrying',
      );
      await waitBeforeRetry();
    }
  }

  async function waitBeforeRetry(): Promise<void> {
    const delayMs = RETRY_DELAY_MS * (0.5 + random.next());
    await sleep(clock, delayMs, abortController.signal).catch(() => undefined);
  }

  /**
   * Reloads the accepted object and the status of a record after a version
   * conflict, as another acceptor has written them.
   */
  async function reloadAfterConflict(key: string): Promise<void> {
    try {
      const signal = abortController.signal;
      cache.updateAccepted(
        key,
        await store.get<AcceptedObject>(ACCEPTED_KIND, key, signal),
      );
      await statusWriter.reload(key);
    } catch {
      await waitBeforeRetry();
    }
  }

  async function reconcile(key: string): Promise<void> {
    const input = cache.acceptanceInput(key, clock.wall());
    const decision = decideAcceptance(input);
    switch (decision.type) {
      case 'accept':
        if (!(await accept(key, decision))) {
          return;
        }
        break;
      case 'refuse':
        await reject(key, decision, input.accepted?.sourceVersion);
        return;
      case 'nothing':
        break;
    }
    await reportStatus(key);
  }

  async function accept(
    key: string,
    {object}: Extract<AcceptanceDecision, {type: 'accept'}>,
  ): Promise<boolean> {
    const currentObject = cache.acceptedObject(key);
    const faults = await moveClaims.claim(key, object);
    if (faults.length > 0) {
      const {sourceVersion} = object;
      const decision = {type: 'refuse', sourceVersion, faults} as const;
      await reject(key, decision, currentObject?.value.sourceVersion);
      return false;
    }
    const writtenObject = await store.put(
      ACCEPTED_KIND,
      key,
      object,
      unchangedCondition(currentObject),
      abortController.signal,
    );
    cache.updateAccepted(key, writtenObject);
    decisions?.recordDecision(
      'records',
      key,
      object.isRemoved ? 'remove' : 'accept',
      `record version ${object.sourceVersion}`,
    );
    // An accepted record may make rejected moves valid, and valid moves
    // invalid.
    if (cache.canAffectMoves(key)) {
      markDirty(cache.moveKeys());
    }
    return true;
  }

  async function reject(
    key: string,
    decision: Extract<AcceptanceDecision, {type: 'refuse'}>,
    acceptedVersion: number | undefined,
  ): Promise<void> {
    const {sourceVersion, faults} = decision;
    const isWritten = await statusWriter.write(key, {
      state: 'refused',
      sourceVersion,
      acceptedVersion,
      faults,
      waitingFor: [],
    });
    if (isWritten) {
      const reasons = faults.map(fault => `${fault.path}: ${fault.expected}`);
      decisions?.recordDecision('records', key, 'refuse', reasons.join('; '));
    }
  }

  /**
   * Writes that a record is accepted or removed and starts to wait until every
   * live member has confirmed it, unless this is already confirmed. Removes the
   * status if no accepted form and no source record exist.
   */
  async function reportStatus(key: string): Promise<void> {
    const accepted = cache.acceptedObject(key)?.value;
    if (accepted === undefined) {
      await removeOrphanedStatus(key);
      return;
    }
    if (await statusWriter.isInForce(key, accepted)) {
      return;
    }
    const {sourceVersion, isRemoved} = accepted;
    await statusWriter.write(key, {
      state: isRemoved ? 'removed' : 'accepted',
      sourceVersion,
      acceptedVersion: sourceVersion,
      faults: [],
      waitingFor: [],
    });
    statusWriter.awaitConfirmation(key, accepted);
  }

  /** Removes the status of a rejected record that the operator has removed. */
  async function removeOrphanedStatus(key: string): Promise<void> {
    if (cache.acceptanceInput(key, clock.wall()).source === undefined) {
      await statusWriter.remove(key);
    }
  }

  async function loadStatuses(): Promise<void> {
    try {
      markDirty(await statusWriter.load());
    } catch (error) {
      log.warn({err: error}, 'failed to list record statuses');
    }
  }

  async function checkConfirmations(): Promise<void> {
    const unconfirmedVersions = statusWriter.unconfirmedVersions();
    if (
      isCheckingConfirmations ||
      unconfirmedVersions.length === 0 ||
      !canAct()
    ) {
      return;
    }
    isCheckingConfirmations = true;
    try {
      const lackingMemberIds =
        await options.membersLacking(unconfirmedVersions);
      if (canAct()) {
        await statusWriter.handleConfirmation(
          unconfirmedVersions,
          lackingMemberIds,
        );
      }
    } catch (error) {
      log.warn(
        {err: error},
        'failed to check confirmations of records; retrying',
      );
    } finally {
      isCheckingConfirmations = false;
    }
  }

  function runPeriodicChecks(): void {
    // Resumes processing that stopped because the lease renewal was late.
    void processDirtyKeys();
    void checkConfirmations();
  }

  void loadStatuses();
  disposables.add(
    scheduleRepeatedly(
      clock,
      CONFIRMATION_CHECK_INTERVAL_MS,
      runPeriodicChecks,
    ),
  );
  disposables.add(
    scheduleRepeatedly(clock, MOVE_RECHECK_INTERVAL_MS, () =>
      markDirty(cache.moveKeys()),
    ),
  );
  return {
    dump: () => ({
      isComplete: cache.isComplete(),
      waiting: [...dirtyKeys].map(key => recordKey(cache.parseRecordKey(key))),
      unconfirmed: statusWriter.unconfirmedVersions(),
    }),
    dispose() {
      abortController.abort();
      disposables.dispose();
    },
  };
}
