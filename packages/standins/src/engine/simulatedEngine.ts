/**
 * Clock-driven simulation of a model engine: continuous batching, a bounded
 * prefix cache, priorities, delayed load reports, KV cache export and import.
 * It does no I/O, so that benchmarks can run it on a virtual clock.
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
  type EndpointOrder,
  type GenerationRequest,
  type LoadReport,
} from '@skylarkfield/endpoints';
import {createAnswer} from './answerText.js';
import {createBlockCache} from './blockCache.js';
import {defaultEngineCosts, type EngineCosts} from './engineCosts.js';
import {
  isFaultActive,
  type EngineFault,
  type EngineFaultType,
} from './engineFaults.js';
import {createBoundedMap, type ExportedCache} from './exportedCache.js';
import {createLoadReports} from './loadReports.js';
import {
  appendTokens,
  createSequence,
  sequenceBlocks,
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

/** Counters of the work done since the start. */
export interface EngineTotals {
  readonly requests: number;
  readonly prefilledTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly importedTokens: number;
}

export interface SimulatedEngine extends Disposable {
  /** Enqueues a request; the sink receives its events and its end. */
  submit(request: GenerationRequest, sink: StreamSink): void;
  cancel(attempt: string): void;
  load(): LoadReport;
  cacheEvents(afterSequence: number): readonly CacheEvent[];
  /** Exports the KV cache of an attempt; undefined unless it is decoding. */
  exportCache(attempt: string): ExportedCache | undefined;
  getExport(handle: string): ExportedCache | undefined;
  /** Milliseconds that fetching an export over the network takes. */
  importDelayMs(cache: ExportedCache): number;
  importCache(cache: ExportedCache): void;
  order(order: EndpointOrder): void;
  running(): {version: string; adapters: readonly string[]; role: string};
  setFaults(faults: readonly EngineFault[]): void;
  /** Returns whether a fault of the type is active. */
  hasFault(type: EngineFaultType): boolean;
  totals(): EngineTotals;
}

/** Maximum number of exports held for fetching, and of imports held for use. */
const MAX_HELD_EXPORTS = 256;

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
  const cache = createBlockCache({
    clock,
    random,
    capacity: costs.cacheBlocks,
    eventDelayMs: costs.cacheEventDelayMs,
    eventLoss: costs.cacheEventLoss,
  });
  const waiting: Sequence[] = [];
  const batch: Sequence[] = [];
  const exports = createBoundedMap<ExportedCache>(MAX_HELD_EXPORTS);
  const imports = createBoundedMap<number>(MAX_HELD_EXPORTS);
  const streamOutput = createStreamOutput(clock, removeFromBatch);
  const loadReports = createLoadReports({
    clock,
    costs,
    sample: () => ({
      running: batch.length,
      waiting: waiting.length,
      slots: costs.slots,
      waitingPromptTokens: [...waiting, ...batch].reduce(
        (sum, sequence) => sum + sequence.prefillLeft,
        0,
      ),
      cacheUse: cache.size / costs.cacheBlocks,
      attempts: [...batch, ...waiting].map(({request}) => request.attempt),
    }),
  });
  let faults: readonly EngineFault[] = [];
  let version = options.version;
  let role = options.role ?? 'serving';
  let adapters: string[] = [];
  let highestFencingToken = 0;
  let stepTimer: Disposable | undefined;
  const totals = {
    requests: 0,
    prefilledTokens: 0,
    cachedTokens: 0,
    generatedTokens: 0,
    importedTokens: 0,
  };

  function activeFaults(): EngineFault[] {
    const context = {
      version,
      running: batch.length + waiting.length,
      requests: totals.requests,
    };
    return faults.filter(fault => isFaultActive(fault, context));
  }

  function hasFault(type: EngineFaultType): boolean {
    return activeFaults().some(fault => fault.type === type);
  }

  function slowdownFactor(): number {
    return activeFaults()
      .filter(fault => fault.type === 'slow')
      .reduce((factor, fault) => factor * (fault.amount ?? 2), 1);
  }

  function admitWaiting() {
    while (waiting.length > 0 && batch.length < costs.slots) {
      startSequence(waiting.shift()!);
    }
  }

  function startSequence(sequence: Sequence) {
    const {request, tokens} = sequence;
    const importedTokenCount = imports.get(request.importedCache ?? '') ?? 0;
    const prefixTokens =
      cache.countCachedPrefix(sequence.blocks) * TOKENS_PER_BLOCK;
    const tokenCount = tokens.length;
    // The last token is always computed: the next token is sampled from it.
    const reusableTokens = Math.min(
      Math.max(prefixTokens, importedTokenCount),
      tokenCount - 1,
    );
    sequence.cachedTokens = Math.max(0, reusableTokens);
    sequence.prefillLeft = tokenCount - sequence.cachedTokens;
    totals.cachedTokens += sequence.cachedTokens;
    batch.push(sequence);
    streamOutput.emit(sequence, {
      type: 'start',
      attempt: request.attempt,
      promptTokens: sequence.promptLength,
      cachedTokens: sequence.cachedTokens,
    });
  }

  /** Assigns the prefill budget of the next step, in order of admission. */
  function planPrefill(): Map<Sequence, number> {
    const plan = new Map<Sequence, number>();
    let budget = costs.prefillTokensPerStep;
    for (const sequence of batch) {
      const stepTokens = Math.min(budget, sequence.prefillLeft);
      if (stepTokens > 0) {
        plan.set(sequence, stepTokens);
        budget -= stepTokens;
      }
    }
    return plan;
  }

  function scheduleStep() {
    if (stepTimer !== undefined || hasFault('pause')) {
      return;
    }
    admitWaiting();
    if (batch.length === 0) {
      return;
    }
    const prefill = planPrefill();
    const decoding = batch.filter(sequence => sequence.prefillLeft === 0);
    const prefillTokens = [...prefill.values()].reduce((a, b) => a + b, 0);
    const durationMs =
      costs.stepMs +
      costs.decodeMsPerSequence * decoding.length +
      costs.prefillMsPerToken * prefillTokens;
    stepTimer = clock.after(durationMs * slowdownFactor(), () => {
      stepTimer = undefined;
      finishStep(prefill, decoding);
      scheduleStep();
    });
  }

  function finishStep(
    prefill: ReadonlyMap<Sequence, number>,
    decoding: readonly Sequence[],
  ) {
    if (hasFault('pause')) {
      return;
    }
    for (const [sequence, tokens] of prefill) {
      sequence.prefillLeft -= tokens;
      totals.prefilledTokens += tokens;
      if (sequence.prefillLeft === 0) {
        cache.store(sequence.blocks);
        decode(sequence);
      }
    }
    decoding.forEach(decode);
    loadReports.update();
  }

  function decode(sequence: Sequence) {
    if (!batch.includes(sequence)) {
      return;
    }
    const {request, answer} = sequence;
    const index = sequence.tokens.length - sequence.promptLength;
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
    const {request, answer, tokens, promptLength} = sequence;
    const generated = tokens.length - promptLength;
    const tokenLimit = Math.min(answer.length, request.maxTokens);
    if (generated < tokenLimit || !removeFromBatch(sequence)) {
      return;
    }
    streamOutput.emit(sequence, {
      type: 'end',
      attempt: request.attempt,
      reason: tokenLimit === answer.length ? 'stop' : 'length',
      promptTokens: promptLength,
      cachedTokens: sequence.cachedTokens,
      generatedTokens: generated,
    });
  }

  /** Removes a sequence; its computed blocks stay in the prefix cache. */
  function removeFromBatch(sequence: Sequence): boolean {
    const index = batch.indexOf(sequence);
    if (index < 0) {
      return false;
    }
    batch.splice(index, 1);
    if (sequence.prefillLeft === 0) {
      cache.store(sequenceBlocks(sequence));
    }
    loadReports.update();
    return true;
  }

  function enqueueByUrgency(sequence: Sequence) {
    const {urgency} = sequence.request;
    const index = waiting.findIndex(other => other.request.urgency > urgency);
    waiting.splice(index < 0 ? waiting.length : index, 0, sequence);
  }

  function findSequence(attempt: string): Sequence | undefined {
    return [...batch, ...waiting].find(
      ({request}) => request.attempt === attempt,
    );
  }

  const orderHandlers: Record<EndpointOrder['type'], (t: string) => void> = {
    'load-model': () => cache.clear(),
    'load-adapter': target => {
      adapters = [...new Set([...adapters, target])];
    },
    'load-version': target => {
      version = target;
      cache.clear();
    },
    'set-role': target => {
      role = target;
    },
  };

  return {
    submit(request, sink) {
      totals.requests += 1;
      const requestFaults = activeFaults().filter(fault =>
        random.chance(fault.probability ?? 1),
      );
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
      const index = waiting.indexOf(sequence);
      if (index >= 0) {
        waiting.splice(index, 1);
      }
      removeFromBatch(sequence);
      sequence.sink.fail(new ServingError('cancelled', 'cancelled'));
    },
    load: () => loadReports.published(),
    cacheEvents: afterSequence => cache.eventsAfter(afterSequence),
    exportCache(attempt) {
      const sequence = findSequence(attempt);
      if (sequence === undefined || sequence.prefillLeft > 0) {
        return undefined;
      }
      const tokens = sequence.tokens.length;
      const exported = {
        handle: `export-${attempt}-${tokens}`,
        tokens,
        bytes: tokens * costs.bytesPerToken,
        blocks: sequenceBlocks(sequence),
      };
      exports.set(exported.handle, exported);
      return exported;
    },
    getExport: handle => exports.get(handle),
    importDelayMs: ({bytes}) => bytes / costs.importBytesPerMs,
    importCache(exported) {
      imports.set(exported.handle, exported.tokens);
      totals.importedTokens += exported.tokens;
      cache.store(exported.blocks);
    },
    order(order) {
      if (options.checksFencing && order.fencing < highestFencingToken) {
        throw new ServingError(
          'fenced',
          'the order has an outdated fencing token',
        );
      }
      if (clock.wall() > order.expiresAt) {
        throw new ServingError('deadline-exceeded', 'the order has expired');
      }
      highestFencingToken = Math.max(highestFencingToken, order.fencing);
      orderHandlers[order.type](order.target);
    },
    running: () => ({version, adapters, role}),
    setFaults(newFaults) {
      faults = newFaults;
      scheduleStep();
    },
    hasFault,
    totals: () => ({...totals}),
    dispose() {
      stepTimer?.dispose();
      const unfinished = [...batch.splice(0), ...waiting.splice(0)];
      const interruptedError = new ServingError(
        'interrupted',
        'the engine was stopped',
      );
      unfinished.forEach(sequence => sequence.sink.fail(interruptedError));
    },
  };
}
