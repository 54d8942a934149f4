/**
 * The acceptance duty: checks what operators write, converts it, writes the
 * accepted form and reports a status.
 *
 * Nothing here relies on being the only acceptor. Each write depends on the
 * version that was read, and a source version never goes down, so acceptors
 * that race or wake from a pause cannot take back what another accepted.
 */
import {
  disposableStore,
  every,
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
import {decideRecord, type AcceptanceDecision} from './acceptanceDecision.js';
import {createAcceptanceView} from './acceptanceView.js';
import type {AcceptedObject} from './acceptedShapes.js';
import {ACCEPTED_KIND} from './configuration.js';
import {createMoveClaims} from './moveClaims.js';
import {recordKey} from './recordTable.js';
import {createStatusWriter} from './statusWriter.js';
import {conditionOn} from './writeCondition.js';

export interface Acceptance extends Disposable {
  dump(): {
    readonly isComplete: boolean;
    readonly waiting: readonly string[];
    readonly unconfirmed: readonly RecordVersion[];
  };
}

export interface AcceptanceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly log: Logger;
  readonly decisions?: DecisionLog;
  /**
   * Takes every accepted object to the own configuration and from there to
   * peers. The acceptor reaches the platform; the readers may be cut off from it.
   */
  readonly onDidAccept?: (key: string, accepted: AcceptedObject) => void;
  /** Whether the duty is certainly held; asked right before each effect. */
  readonly canAct: () => boolean;
  /** Ids of live members that lack one of the records or did not answer. */
  readonly lacking: (
    records: readonly RecordVersion[],
  ) => Promise<readonly string[]>;
}

const CONFIRM_INTERVAL_MS = 250;
/** A move may be refused because of one whose deadline passes later. */
const MOVES_AGAIN_MS = 10_000;
const RETRY_MS = 300;

/**
 * Starts to accept records, for as long as the duty is held.
 *
 * @example
 * duties.compete('acceptance', tenure =>
 *   createAcceptance({...parts, canAct: () => tenure.isValid(), lacking: configuration.lacking}),
 * );
 */
export function createAcceptance(options: AcceptanceOptions): Acceptance {
  const {clock, random, store, log, decisions} = options;
  const owned = disposableStore();
  const stopping = new AbortController();
  const dirty = new Set<string>();
  let isWorking = false;
  let isConfirming = false;

  const view = owned.add(
    createAcceptanceView({
      store,
      onDidChange: key => mark([key]),
      onDidAccept: options.onDidAccept,
    }),
  );
  const statuses = createStatusWriter({
    clock,
    store,
    canAct,
    signal: stopping.signal,
  });

  const claims = createMoveClaims({
    clock,
    store,
    view,
    signal: stopping.signal,
  });

  function canAct(): boolean {
    return !owned.isDisposed && options.canAct();
  }

  function mark(keys: readonly string[]): void {
    for (const key of keys) {
      dirty.add(key);
    }
    void work();
  }

  /** Takes marked records one after the other until none is left. */
  async function work(): Promise<void> {
    if (isWorking || !view.isComplete()) {
      return;
    }
    isWorking = true;
    try {
      for (const key of view.inOrder(dirty)) {
        if (!canAct()) {
          return;
        }
        dirty.delete(key);
        await settle(key);
      }
    } finally {
      isWorking = false;
    }
    if (dirty.size > 0 && canAct()) {
      void work();
    }
  }

  async function settle(key: string): Promise<void> {
    try {
      await reconcile(key);
    } catch (error) {
      if (stopping.signal.aborted) {
        return;
      }
      dirty.add(key);
      if (isServingError(error, 'version-conflict')) {
        await refresh(key);
        return;
      }
      log.warn({err: error, record: key}, 'a record has to wait');
      await pause();
    }
  }

  async function pause(): Promise<void> {
    const spanMs = RETRY_MS * (0.5 + random.next());
    await sleep(clock, spanMs, stopping.signal).catch(() => undefined);
  }

  /** Another acceptor was first: its result is the new ground. */
  async function refresh(key: string): Promise<void> {
    try {
      const signal = stopping.signal;
      view.noteAccepted(
        key,
        await store.get<AcceptedObject>(ACCEPTED_KIND, key, signal),
      );
      await statuses.refresh(key);
    } catch {
      await pause();
    }
  }

  async function reconcile(key: string): Promise<void> {
    const record = view.caseOf(key, clock.wall());
    const decision = decideRecord(record);
    switch (decision.type) {
      case 'accept':
        if (!(await accept(key, decision))) {
          return;
        }
        break;
      case 'refuse':
        await refuse(key, decision, record.accepted?.sourceVersion);
        return;
      case 'nothing':
        break;
    }
    await report(key);
  }

  async function accept(
    key: string,
    {object}: Extract<AcceptanceDecision, {type: 'accept'}>,
  ): Promise<boolean> {
    const present = view.acceptedObject(key);
    const faults = await claims.claim(key, object);
    if (faults.length > 0) {
      const {sourceVersion} = object;
      const decision = {type: 'refuse', sourceVersion, faults} as const;
      await refuse(key, decision, present?.value.sourceVersion);
      return false;
    }
    const written = await store.put(
      ACCEPTED_KIND,
      key,
      object,
      conditionOn(present),
      stopping.signal,
    );
    view.noteAccepted(key, written);
    decisions?.note(
      'records',
      key,
      object.isRemoved ? 'remove' : 'accept',
      `record version ${object.sourceVersion}`,
    );
    // A move that was refused may now be possible, and the other way round.
    if (view.canAffectMoves(key)) {
      mark(view.moves());
    }
    return true;
  }

  async function refuse(
    key: string,
    decision: Extract<AcceptanceDecision, {type: 'refuse'}>,
    acceptedVersion: number | undefined,
  ): Promise<void> {
    const {sourceVersion, faults} = decision;
    const isNews = await statuses.write(key, {
      state: 'refused',
      sourceVersion,
      acceptedVersion,
      faults,
      waitingFor: [],
    });
    if (isNews) {
      const why = faults.map(fault => `${fault.path}: ${fault.expected}`);
      decisions?.note('records', key, 'refuse', why.join('; '));
    }
  }

  /** Reports an accepted record until every live member has confirmed it. */
  async function report(key: string): Promise<void> {
    const accepted = view.acceptedObject(key)?.value;
    if (accepted === undefined) {
      await dropStatusOfNothing(key);
      return;
    }
    if (await statuses.isInForce(key, accepted)) {
      return;
    }
    const {sourceVersion, isRemoved} = accepted;
    await statuses.write(key, {
      state: isRemoved ? 'removed' : 'accepted',
      sourceVersion,
      acceptedVersion: sourceVersion,
      faults: [],
      waitingFor: [],
    });
    statuses.expectConfirmation(key, accepted);
  }

  /** A refused record that the operator has removed leaves a status behind. */
  async function dropStatusOfNothing(key: string): Promise<void> {
    if (view.caseOf(key, clock.wall()).source === undefined) {
      await statuses.drop(key);
    }
  }

  async function loadStatuses(): Promise<void> {
    try {
      mark(await statuses.load());
    } catch (error) {
      log.warn({err: error}, 'the statuses were not listed');
    }
  }

  async function confirm(): Promise<void> {
    const pending = statuses.unconfirmed();
    if (isConfirming || pending.length === 0 || !canAct()) {
      return;
    }
    isConfirming = true;
    try {
      const lacking = await options.lacking(pending);
      if (canAct()) {
        await statuses.confirm(pending, lacking);
      }
    } catch (error) {
      log.warn({err: error}, 'a confirmation has to wait');
    } finally {
      isConfirming = false;
    }
  }

  function tick(): void {
    // Work that stopped while a renewal was late goes on here.
    void work();
    void confirm();
  }

  void loadStatuses();
  owned.add(every(clock, CONFIRM_INTERVAL_MS, tick));
  owned.add(every(clock, MOVES_AGAIN_MS, () => mark(view.moves())));
  return {
    dump: () => ({
      isComplete: view.isComplete(),
      waiting: [...dirty].map(key => recordKey(view.identityOf(key))),
      unconfirmed: statuses.unconfirmed(),
    }),
    dispose() {
      stopping.abort();
      owned.dispose();
    },
  };
}
