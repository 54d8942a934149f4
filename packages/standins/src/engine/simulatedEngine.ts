/**
 * Clock-driven simulation of a model engine: continuous batching, a bounded
 * prefix cache, priorities, delayed load reports, KV cache export and import.
 * The simulation does no I/O, so that benchmarks can use a virtual clock.
 */
import {
  ServingError,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import {
  TOKENS_PER_BLOCK,
  type CacheEvent,
  type EndpointCommand,
  type GenerationRequest,
  type LoadReport,
} from '@skylarkfield/endpoints';
import {createActiveFaults} from './activeFaults.js';
import {createAnswer} from './answerText.js';
import {createBlockCache} from './blockCache.js';
import {createCommandExecutor, type RunningState} from './commandExecutor.js';
import {defaultEngineCosts, type EngineCosts} from './engineCosts.js';
import type {EngineFault, EngineFaultType} from './engineFaults.js';
import {createBoundedMap, type ExportedCache} from './exportedCache.js';
import {createLoadReports} from './loadReports.js';
import {
  appendTokens,
  createSequence,
  hashSequenceBlocks,
  type Sequence,
  type StreamSink,
} from './sequence.js';
import {createStreamOutput} from './streamOutput.js';

export interface SimulatedEngineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly version: string;
  readonly role?: string;
  readonly checksFencing?: boolean;
  readonly costs?: Partial<EngineCosts>;
}

/** Numbers of requests and tokens since the engine was created. */
export interface EngineTotals {
  readonly requests: number;
  readonly prefilledTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly importedTokens: number;
}

export interface SimulatedEngine extends Disposable {
  /** Enqueues a request; the sink receives its events or an error. */
  submit(request: GenerationRequest, sink: StreamSink): void;
  cancel(attempt: string): void;
  load(): LoadReport;
  cacheEvents(afterSequence: number): readonly CacheEvent[];
  /**
   * Exports the KV cache of an attempt. Returns undefined unless the attempt is
   * being decoded.
   */
  exportCache(attempt: string): ExportedCache | undefined;
  getExport(handle: string): ExportedCache | undefined;
  /** Returns the time to fetch an export over the network, in milliseconds. */
  importDelayMs(cache: ExportedCache): number;
  importCache(cache: ExportedCache): void;
  executeCommand(order: EndpointCommand): void;
  running(): RunningState;
  setFaults(faults: readonly EngineFault[]): void;
  /** Returns whether a fault of the given type is active. */
  hasFault(type: EngineFaultType): boolean;
  totals(): EngineTotals;
}

/** Maximum number of retained exports, and separately of retained imports. */
const MAX_RETAINED_CACHES = 256;

/**
 * Creates an idle engine.
 *
 * @example
 * const engine = createSimulatedEngine({clock, random, version: 'v1'});
 * engine.submit(request, {event: show, fail: report});
 */
export function createSimulatedEngine(
  options: SimulatedEngineOptions,
): SimulatedEngine {
  const {clock, random} = options;
  const costs = {...defaultEngineCosts, ...options.costs};
  const prefixCache = createBlockCache({
    clock,
    random,
    capacity: costs.cacheBlocks,
    eventDelayMs: costs.cacheEventDelayMs,
    eventLossProbability: costs.cacheEventLoss,
  });
  const waitingSequences: Sequence[] = [];
  const batch: Sequence[] = [];
  const exportsByHandle = createBoundedMap<ExportedCache>(MAX_RETAINED_CACHES);
  const importedTokensByHandle = createBoundedMap<number>(MAX_RETAINED_CACHES);
  const streamOutput = createStreamOutput(clock, removeFromBatch);
  const loadReports = createLoadReports({
    clock,
    costs,
    sampleLoad: () => ({
      running: batch.length,
      waiting: waitingSequences.length,
      slots: costs.slots,
      waitingPromptTokens: [...waitingSequences, ...batch].reduce(
        (sum, sequence) => sum + sequence.prefillTokensLeft,
        0,
      ),
      cacheUse: prefixCache.size / costs.cacheBlocks,
      attempts: [...batch, ...waitingSequences].map(
        ({request}) => request.attempt,
      ),
    }),
  });
  let stepTimer: Disposable | undefined;
  const totals = {
    requests: 0,
    prefilledTokens: 0,
    cachedTokens: 0,
    generatedTokens: 0,
    importedTokens: 0,
  };
  const commandExecutor = createCommandExecutor({
    clock,
    version: options.version,
    role: options.role ?? 'serving',
    checksFencing: options.checksFencing ?? false,
    onDidLoad: () => prefixCache.clear(),
  });
  const activeFaults = createActiveFaults(() => ({
    version: commandExecutor.running().version,
    running: batch.length + waitingSequences.length,
    requests: totals.requests,
  }));

  function admitWaiting() {
    while (waitingSequences.length > 0 && batch.length < costs.slots) {
      startSequence(waitingSequences.shift()!);
    }
  }

  function startSequence(sequence: Sequence) {
    const {request, tokens} = sequence;
    const importedTokenCount =
      importedTokensByHandle.get(request.importedCache ?? '') ?? 0;
    const prefixTokens =
      prefixCache.countCachedPrefixBlocks(sequence.blocks) * TOKENS_PER_BLOCK;
    const tokenCount = tokens.length;
    // The last token must be computed: its output determines the next token.
    const reusableTokens = Math.min(
      Math.max(prefixTokens, importedTokenCount),
      tokenCount - 1,
    );
    sequence.cachedTokens = Math.max(0, reusableTokens);
    sequence.prefillTokensLeft = tokenCount - sequence.cachedTokens;
    totals.cachedTokens += sequence.cachedTokens;
    batch.push(sequence);
    streamOutput.emit(sequence, {
      type: 'start',
      attempt: request.attempt,
      promptTokens: sequence.promptTokenCount,
      cachedTokens: sequence.cachedTokens,
    });
  }

  /** Distributes the prefill tokens of the next step in order of admission. */
  function planPrefill(): Map<Sequence, number> {
    const stepTokensBySequence = new Map<Sequence, number>();
    let budgetLeft = costs.prefillTokensPerStep;
    for (const sequence of batch) {
      const stepTokens = Math.min(budgetLeft, sequence.prefillTokensLeft);
      if (stepTokens > 0) {
        stepTokensBySequence.set(sequence, stepTokens);
        budgetLeft -= stepTokens;
      }
    }
    return stepTokensBySequence;
  }

  function scheduleStep() {
    if (stepTimer !== undefined || activeFaults.has('pause')) {
      return;
    }
    admitWaiting();
    if (batch.length === 0) {
      return;
    }
    const prefillPlan = planPrefill();
    const decodingSequences = batch.filter(
      sequence => sequence.prefillTokensLeft === 0,
    );
    const prefillTokens = [...prefillPlan.values()].reduce((a, b) => a + b, 0);
    const durationMs =
      costs.stepMs +
      costs.decodeMsPerSequence * decodingSequences.length +
      costs.prefillMsPerToken * prefillTokens;
    stepTimer = clock.after(durationMs * activeFaults.slowdownFactor(), () => {
      stepTimer = undefined;
      finishStep(prefillPlan, decodingSequences);
      scheduleStep();
    });
  }

  function finishStep(
    prefillPlan: ReadonlyMap<Sequence, number>,
    decodingSequences: readonly Sequence[],
  ) {
    if (activeFaults.has('pause')) {
      return;
    }
    for (const [sequence, prefilledTokens] of prefillPlan) {
      sequence.prefillTokensLeft -= prefilledTokens;
      totals.prefilledTokens += prefilledTokens;
      if (sequence.prefillTokensLeft === 0) {
        prefixCache.store(sequence.blocks);
        decode(sequence);
      }
    }
    decodingSequences.forEach(decode);
    loadReports.update();
  }

  function decode(sequence: Sequence) {
    if (!batch.includes(sequence)) {
      return;
    }
    const {request, answer} = sequence;
    const index = sequence.tokens.length - sequence.promptTokenCount;
    if (index < Math.min(answer.length, request.maxTokens)) {
      const text = answer.tokenAt(index);
      appendTokens(sequence, [text]);
      totals.generatedTokens += 1;
      streamOutput.emit(sequence, {
        type: 'token',
        attempt: request.attempt,
        index,
        text,
      });
    }
    finishIfComplete(sequence);
  }

  function finishIfComplete(sequence: Sequence) {
    const {request, answer, tokens, promptTokenCount} = sequence;
    const generatedCount = tokens.length - promptTokenCount;
    const tokenLimit = Math.min(answer.length, request.maxTokens);
    if (generatedCount < tokenLimit || !removeFromBatch(sequence)) {
      return;
    }
    streamOutput.emit(sequence, {
      type: 'end',
      attempt: request.attempt,
      reason: tokenLimit === answer.length ? 'stop' : 'length',
      promptTokens: promptTokenCount,
      cachedTokens: sequence.cachedTokens,
      generatedTokens: generatedCount,
    });
  }

  /**
   * Removes a sequence from the batch and caches its computed blocks. Returns
   * false if the sequence is not in the batch.
   */
  function removeFromBatch(sequence: Sequence): boolean {
    const index = batch.indexOf(sequence);
    if (index < 0) {
      return false;
    }
    batch.splice(index, 1);
    if (sequence.prefillTokensLeft === 0) {
      prefixCache.store(hashSequenceBlocks(sequence));
    }
    loadReports.update();
    return true;
  }

  function enqueueByUrgency(sequence: Sequence) {
    const {urgency} = sequence.request;
    const index = waitingSequences.findIndex(
      queuedSequence => queuedSequence.request.urgency > urgency,
    );
    waitingSequences.splice(
      index < 0 ? waitingSequences.length : index,
      0,
      sequence,
    );
  }

  function findSequence(attempt: string): Sequence | undefined {
    return [...batch, ...waitingSequences].find(
      ({request}) => request.attempt === attempt,
    );
  }

  return {
    submit(request, sink) {
      totals.requests += 1;
      const requestFaults = activeFaults
        .list()
        .filter(fault => random.chance(fault.probability ?? 1));
      if (requestFaults.some(fault => fault.type === 'fail')) {
        sink.fail(new ServingError('endpoint-failed', 'the engine failed'));
        return;
      }
      const answer = createAnswer(request.prompt, request.seed);
      enqueueByUrgency(createSequence(request, sink, answer, requestFaults));
      loadReports.update();
      scheduleStep();
    },
    cancel(attempt) {
      const sequence = findSequence(attempt);
      if (sequence === undefined) {
        return;
      }
      const index = waitingSequences.indexOf(sequence);
      if (index >= 0) {
        waitingSequences.splice(index, 1);
      }
      removeFromBatch(sequence);
      sequence.sink.fail(
        new ServingError('cancelled', 'the request was cancelled'),
      );
    },
    load: () => loadReports.latestPublishedReport(),
    cacheEvents: afterSequence => prefixCache.eventsAfter(afterSequence),
    exportCache(attempt) {
      const sequence = findSequence(attempt);
      if (sequence === undefined || sequence.prefillTokensLeft > 0) {
        return undefined;
      }
      const tokens = sequence.tokens.length;
      const exportedCache = {
        handle: `export-${attempt}-${tokens}`,
        tokens,
        bytes: tokens * costs.bytesPerToken,
        blocks: hashSequenceBlocks(sequence),
      };
      exportsByHandle.set(exportedCache.handle, exportedCache);
      return exportedCache;
    },
    getExport: handle => exportsByHandle.get(handle),
    importDelayMs: ({bytes}) => bytes / costs.importBytesPerMs,
    importCache(exportedCache) {
      importedTokensByHandle.set(exportedCache.handle, exportedCache.tokens);
      totals.importedTokens += exportedCache.tokens;
      prefixCache.store(exportedCache.blocks);
    },
    executeCommand: order => commandExecutor.execute(order),
    running: () => commandExecutor.running(),
    setFaults(newFaults) {
      activeFaults.setFaults(newFaults);
      scheduleStep();
    },
    hasFault: type => activeFaults.has(type),
    totals: () => ({...totals}),
    dispose() {
      stepTimer?.dispose();
      const unfinishedSequences = [
        ...batch.splice(0),
        ...waitingSequences.splice(0),
      ];
      const interruptedError = new ServingError(
        'interrupted',
        'the engine was stopped',
      );
      unfinishedSequences.forEach(sequence =>
        sequence.sink.fail(interruptedError),
      );
    },
  };
}
