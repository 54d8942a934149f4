/**
 * Quarantines requests that crash the endpoints that run them ("queries of
 * death"), and parts of prompts under which endpoints crash.
 *
 * Every request that a crashed endpoint was running is suspected, and so are the
 * parts of its prompt. After several endpoints crashed while running the same
 * request, or requests with the same part, no entry forwards such requests until
 * the quarantine ends. A complete response clears the request and its parts.
 */
import {
  createEmitter,
  type Clock,
  type DecisionLog,
  type Event,
} from '@skylarkfield/base';
import {createCrashDetector, type CrashDetector} from './crashDetector.js';
import type {Crash, CrashReport} from './crashEvidence.js';
import type {CrashGossip} from './crashGossip.js';
import {createCrashSources} from './crashSources.js';
import {suspectKindOf} from './crashSuspects.js';
import {createCrashTrials, TRIAL_TIMEOUT_MS} from './crashTrials.js';
import {
  countIncidents,
  isNearThreshold,
  isOverThreshold,
  isSuspicious,
  moreSevere,
  remainingQuarantineMs,
  type CrashHistory,
  type QuarantineVerdict,
} from './crashVerdict.js';
import {createLossRate} from './lossRate.js';
import {createServedSuspects} from './servedSuspects.js';

/** Quarantine of one entry. Requests are identified by their fingerprints. */
export interface CrashQuarantine extends Omit<CrashDetector, 'isUnconfirmed'> {
  /**
   * Records that data of the response to a request arrived that was sent at
   * `sentAt`, in monotonic milliseconds.
   */
  recordData(endpoint: string, sentAt: number): void;
  /** Whether no crash is recorded; every verdict is then `clear`. */
  isEmpty(): boolean;
  /**
   * Returns whether the request, whose prompt has the parts, may be forwarded.
   */
  verdictFor(request: string, parts?: readonly string[]): QuarantineVerdict;
  /** Records that this entry forwards the request after its quarantine. */
  beginTrial(request: string, parts?: readonly string[]): void;
  /** Records a complete response to the request. */
  recordCompleted(request: string, parts?: readonly string[]): void;
  /** Records a complete response to a prompt while no crash is recorded. */
  recordPartsServed(parts: readonly string[]): void;
  /** Replaces another entry's stored report. */
  setStoredReport(entry: string, report: CrashReport): void;
  /**
   * Removes the evidence of an entry (this or another one) whose stored report
   * was deleted, and all gossiped evidence.
   */
  removeStoredReport(entry: string): void;
  /** Merges a report gossiped by another entry, which may not be stored yet. */
  mergeGossip(gossip: CrashGossip): void;
  /** Merges the report that this entry stored before a restart. */
  restoreOwnReport(report: CrashReport): void;
  /** Returns this entry's report to be stored, with confirmed crashes only. */
  reportToStore(): CrashReport;
  /**
   * Records that this entry's report was stored, where other entries read it.
   */
  recordStored(report: CrashReport): void;
  /** Returns recent or not yet stored evidence to gossip; undefined if none. */
  reportToGossip(): CrashGossip | undefined;
  /** Sets the ids of the entries, one of which runs the trial of a suspect. */
  setEntries(entries: readonly string[]): void;
  /** Fires when the report to be stored changes. */
  readonly onDidChange: Event<void>;
}

/** Maximum number of suspects in a dump. */
const MAX_DUMPED_REQUESTS = 50;

const CLEAR_VERDICT: QuarantineVerdict = {type: 'clear'};

/**
 * Creates the crash quarantine of one entry.
 *
 * @example
 * crashQuarantine.recordConnectionLost({request: fingerprint, endpoint: 'i-1@7'});
 * if (crashQuarantine.verdictFor(fingerprint).type === 'quarantined') { return reject(); }
 */
export function createCrashQuarantine(options: {
  readonly clock: Clock;
  readonly self: string;
  readonly decisions: DecisionLog;
  /** Returns wall-clock milliseconds, comparable between entries. */
  wallMs(): number;
}): CrashQuarantine {
  const {clock, self, decisions, wallMs} = options;
  const changeEmitter = createEmitter<void>();
  const quarantinedSuspects = new Set<string>();
  const trials = createCrashTrials(clock, self);
  const servedSuspects = createServedSuspects();
  const lossRate = createLossRate(clock);
  const detector = createCrashDetector({
    clock,
    wallMs,
    onDidSuspect: addPossibleCrashes,
    onDidRefute: crashes => sources.removeOwn(crashes),
    onDidConfirm: addConfirmedCrashes,
    onDidComplete: recordCompleted,
  });
  const sources = createCrashSources({
    clock,
    self,
    wallMs,
    isUnconfirmed: detector.isUnconfirmed,
    onDidChange: updateQuarantinedSuspects,
    onDidRefuteOwn: () => changeEmitter.fire(),
  });

  function verdictOn(suspect: string): QuarantineVerdict {
    if (!sources.hasCrashes(suspect)) {
      return CLEAR_VERDICT;
    }
    const history = sources.historyOf(suspect);
    const crashes = history.crashes.length;
    if (!isOverThreshold(history, wallMs())) {
      return isSuspicious(history, wallMs())
        ? {type: 'suspected', crashes}
        : CLEAR_VERDICT;
    }
    const remainingMs = remainingQuarantineMs(history, wallMs());
    if (remainingMs > 0) {
      return {type: 'quarantined', crashes, retryAfterMs: remainingMs};
    }
    return trials.mayBegin(suspect)
      ? {type: 'trial', crashes}
      : {type: 'quarantined', crashes, retryAfterMs: TRIAL_TIMEOUT_MS};
  }

  function logThreshold(
    what: string,
    why: string,
    {suspect, crashes}: CrashHistory,
  ): void {
    decisions.recordDecision('routing', suspect, what, why, {
      crashes: crashes.length,
      occasions: countIncidents(crashes),
    });
  }

  function updateQuarantinedSuspects(suspects: ReadonlySet<string>): void {
    for (const suspect of suspects) {
      const history = sources.historyOf(suspect);
      const isOver = isOverThreshold(history, wallMs());
      if (isOver === quarantinedSuspects.has(suspect)) {
        continue;
      }
      if (isOver) {
        quarantinedSuspects.add(suspect);
        const why = 'several endpoints crashed while running it';
        logThreshold('quarantine', why, history);
      } else {
        quarantinedSuspects.delete(suspect);
        const why =
          'it received a complete response, or its crashes were refuted or have expired';
        logThreshold('end quarantine', why, history);
      }
    }
  }

  /** Adds crashes, and when their suspects were served before them. */
  function addCrashes(crashes: readonly Crash[]): void {
    const weight = lossRate.crashWeight();
    const served = servedSuspects.timesOf(crashes.map(({request}) => request));
    const weightedCrashes = crashes.map(crash => ({...crash, weight}));
    sources.addOwn({crashes: weightedCrashes, served});
  }

  /**
   * Counts an unconfirmed crash, so that this entry does not forward the request
   * until the crash is refuted.
   */
  function addPossibleCrashes(crashes: readonly Crash[]): void {
    lossRate.recordLost();
    addCrashes(crashes);
  }

  function addConfirmedCrashes(crashes: readonly Crash[]): void {
    // A response that came since the crash has cleared its suspect.
    const relevantCrashes = crashes.filter(
      crash =>
        sources.historyOf(crash.request).servedAtMs < crash.atMs &&
        !sources.isRefuted(crash),
    );
    if (relevantCrashes.length === 0) {
      return;
    }
    addCrashes(relevantCrashes);
    relevantCrashes.forEach(recordConfirmed);
    changeEmitter.fire();
  }

  function recordConfirmed({request: suspect, endpoint}: Crash): void {
    trials.end(suspect);
    const history = sources.historyOf(suspect);
    if (isNearThreshold(history, wallMs())) {
      const why = 'its endpoint crashed while running it';
      const figures = {endpoint, crashes: history.crashes.length};
      decisions.recordDecision('routing', suspect, 'suspect', why, figures);
    }
  }

  /** Records a complete response to a request with suspects. */
  function recordServed(suspects: readonly string[]): void {
    const isNear = (suspect: string) =>
      isNearThreshold(sources.historyOf(suspect), wallMs());
    const nearSuspects = suspects.filter(isNear);
    const isShared = (suspect: string) =>
      nearSuspects.includes(suspect) ||
      suspectKindOf(suspect) === 'prompt-part';
    suspects.forEach(trials.end);
    sources.recordServed({
      shared: suspects.filter(isShared),
      local: suspects.filter(suspect => !isShared(suspect)),
    });
    if (nearSuspects.length > 0) {
      changeEmitter.fire();
    }
  }

  function recordPartsServed(parts: readonly string[]): void {
    lossRate.recordServed();
    servedSuspects.record(parts, wallMs());
  }

  function recordCompleted(
    request: string,
    parts: readonly string[] = [],
  ): void {
    recordPartsServed(parts);
    servedSuspects.record([request], wallMs());
    const suspects = [request, ...parts].filter(
      suspect => sources.historyOf(suspect).crashes.length > 0,
    );
    if (suspects.length > 0) {
      recordServed(suspects);
    }
  }

  return {
    ...detector,
    recordResponse(endpoint, sentAt) {
      detector.recordResponse(endpoint, sentAt);
      sources.recordResponse(endpoint, sentAt);
    },
    recordUnanswered(lostRequest) {
      sources.recordPossibleCrash(lostRequest.endpoint);
      detector.recordUnanswered(lostRequest);
    },
    recordData: sources.recordData,
    isEmpty: sources.isEmpty,
    verdictFor: (request, parts = []) =>
      [request, ...parts].map(verdictOn).reduce(moreSevere, CLEAR_VERDICT),
    beginTrial(request, parts = []) {
      const suspects = [request, ...parts].filter(
        suspect => verdictOn(suspect).type === 'trial',
      );
      for (const suspect of suspects) {
        trials.begin(suspect);
        const figures = {
          crashes: sources.historyOf(suspect).crashes.length,
        };
        const why = 'its quarantine has ended';
        decisions.recordDecision('routing', suspect, 'try once', why, figures);
      }
    },
    recordCompleted,
    recordPartsServed,
    setStoredReport: sources.setStored,
    removeStoredReport: sources.removeStored,
    mergeGossip: sources.mergeGossip,
    restoreOwnReport: sources.addOwn,
    reportToStore: sources.ownReport,
    recordStored: sources.recordStored,
    reportToGossip: sources.reportToGossip,
    setEntries: trials.setEntries,
    onDidChange: changeEmitter.event,
    dump: () => ({
      requests: sources.suspects().length,
      sources: sources.sourceCount(),
      served: sources.servedCount(),
      losses: detector.dump(),
      most: sources
        .suspects()
        .map(request => ({request, ...verdictOn(request)}))
        .sort((a, b) => crashesInVerdict(b) - crashesInVerdict(a))
        .slice(0, MAX_DUMPED_REQUESTS),
    }),
  };
}

function crashesInVerdict(verdict: QuarantineVerdict): number {
  return verdict.type === 'clear' ? 0 : verdict.crashes;
}
