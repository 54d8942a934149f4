/**
 * A model engine as a simulation driven by a clock: continuous batching, a
 * limited prefix cache, priorities, late load reports, KV export and import.
 * It does no I/O, so that a bench can run it on a virtual clock.
 */
import {
  ServingError,
  type Clock,
  type Disposable,
  type Random,
} from '@skylarkfield/base';
import {
  BLOCK_TOKENS,
  type CacheEvent,
  type EndpointOrder,
  type Generation,
  type LoadReport,
} from '@skylarkfield/endpoints';
import {answerFor} from './answerText.js';
import {createBlockCache} from './blockCache.js';
import {defaultEngineCosts, type EngineCosts} from './engineCosts.js';
import {
  faultApplies,
  type EngineFault,
  type EngineFaultType,
} from './engineFaults.js';
import {createBoundedMap, type ExportedCache} from './exportedCache.js';
import {createLoadReports} from './loadReports.js';
import {
  addTokens,
  createSequence,
  sequenceBlocks,
  type Sequence,
  type StreamSink,
} from './sequence.js';
import {createStreamOutput} from './streamOutput.js';

export interface EngineModelOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly version: string;
  readonly role?: string;
  readonly checksFencing?: boolean;
  readonly costs?: Partial<EngineCosts>;
}

/** Work done since the start. */
export interface EngineTotals {
  readonly requests: number;
  readonly prefilledTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly importedTokens: number;
}

export interface EngineModel extends Disposable {
  /** Takes a request; events and the end go to the sink. */
  submit(request: Generation, sink: StreamSink): void;
  cancel(attempt: string): void;
  load(): LoadReport;
  cacheEvents(after: number): readonly CacheEvent[];
  /** Exports what an attempt has computed so far; undefined when it is not known. */
  exportCache(attempt: string): ExportedCache | undefined;
  exported(handle: string): ExportedCache | undefined;
  /** Milliseconds that taking an export over the network costs. */
  importDelayMs(cache: ExportedCache): number;
  importCache(cache: ExportedCache): void;
  order(order: EndpointOrder): void;
  running(): {version: string; adapters: readonly string[]; role: string};
  setFaults(faults: readonly EngineFault[]): void;
  /** True while a fault of the type applies. */
  hasFault(type: EngineFaultType): boolean;
  totals(): EngineTotals;
}

/** Exports kept for fetching, and imports kept for the requests that name them. */
const KEPT_EXPORTS = 256;

/**
 * Makes an idle engine.
 *
 * @example
 * const model = createEngineModel({clock, random, version: 'v1'});
 * model.submit(request, {event: show, fail: report});
 */
export function createEngineModel(options: EngineModelOptions): EngineModel {
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
  const exports = createBoundedMap<ExportedCache>(KEPT_EXPORTS);
  const imports = createBoundedMap<number>(KEPT_EXPORTS);
  const output = createStreamOutput(clock, remove);
  const reports = createLoadReports({
    clock,
    costs,
    look: () => ({
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
  let newestFencing = 0;
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
    return faults.filter(fault => faultApplies(fault, context));
  }

  function hasFault(type: EngineFaultType): boolean {
    return activeFaults().some(fault => fault.type === type);
  }

  function slowness(): number {
    return activeFaults()
      .filter(fault => fault.type === 'slow')
      .reduce((factor, fault) => factor * (fault.amount ?? 2), 1);
  }

  function admitWaiting() {
    while (waiting.length > 0 && batch.length < costs.slots) {
      begin(waiting.shift()!);
    }
  }

  function begin(sequence: Sequence) {
    const {request, tokens} = sequence;
    const imported = imports.get(request.importedCache ?? '') ?? 0;
    const found = cache.countPrefix(sequence.blocks) * BLOCK_TOKENS;
    const total = tokens.length;
    // The last token is always computed: the next one follows from it.
    const reusable = Math.min(Math.max(found, imported), total - 1);
    sequence.cachedTokens = Math.max(0, reusable);
    sequence.prefillLeft = total - sequence.cachedTokens;
    totals.cachedTokens += sequence.cachedTokens;
    batch.push(sequence);
    output.emit(sequence, {
      type: 'start',
      attempt: request.attempt,
      promptTokens: sequence.promptLength,
      cachedTokens: sequence.cachedTokens,
    });
  }

  /** Plans the prompt tokens of the next step, the most urgent requests first. */
  function planPrefill(): Map<Sequence, number> {
    const plan = new Map<Sequence, number>();
    let budget = costs.prefillTokensPerStep;
    for (const sequence of batch) {
      const share = Math.min(budget, sequence.prefillLeft);
      if (share > 0) {
        plan.set(sequence, share);
        budget -= share;
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
    stepTimer = clock.after(durationMs * slowness(), () => {
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
    reports.update();
  }

  function decode(sequence: Sequence) {
    if (!batch.includes(sequence)) {
      return;
    }
    const {request, answer} = sequence;
    const index = sequence.tokens.length - sequence.promptLength;
    if (index < Math.min(answer.length, request.maxTokens)) {
      const text = answer.tokenAt(index);
      addTokens(sequence, [text]);
      totals.generatedTokens += 1;
      output.emit(sequence, {
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
    const limit = Math.min(answer.length, request.maxTokens);
    if (generated < limit || !remove(sequence)) {
      return;
    }
    output.emit(sequence, {
      type: 'end',
      attempt: request.attempt,
      reason: limit === answer.length ? 'stop' : 'length',
      promptTokens: promptLength,
      cachedTokens: sequence.cachedTokens,
      generatedTokens: generated,
    });
  }

  /** Takes a sequence out; what it has computed stays in the prefix cache. */
  function remove(sequence: Sequence): boolean {
    const place = batch.indexOf(sequence);
    if (place < 0) {
      return false;
    }
    batch.splice(place, 1);
    if (sequence.prefillLeft === 0) {
      cache.store(sequenceBlocks(sequence));
    }
    reports.update();
    return true;
  }

  function insertByUrgency(sequence: Sequence) {
    const {urgency} = sequence.request;
    const place = waiting.findIndex(other => other.request.urgency > urgency);
    waiting.splice(place < 0 ? waiting.length : place, 0, sequence);
  }

  function find(attempt: string): Sequence | undefined {
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
      const hits = activeFaults().filter(fault =>
        random.chance(fault.probability ?? 1),
      );
      if (hits.some(fault => fault.type === 'fail')) {
        sink.fail(new ServingError('endpoint-failed', 'the engine failed'));
        return;
      }
      const answer = answerFor(request.prompt, request.seed);
      insertByUrgency(createSequence(request, sink, answer, hits));
      reports.update();
      scheduleStep();
    },
    cancel(attempt) {
      const sequence = find(attempt);
      if (sequence === undefined) {
        return;
      }
      const place = waiting.indexOf(sequence);
      if (place >= 0) {
        waiting.splice(place, 1);
      }
      remove(sequence);
      sequence.sink.fail(new ServingError('cancelled', 'cancelled'));
    },
    load: () => reports.published(),
    cacheEvents: after => cache.eventsAfter(after),
    exportCache(attempt) {
      const sequence = find(attempt);
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
    exported: handle => exports.get(handle),
    importDelayMs: ({bytes}) => bytes / costs.importBytesPerMs,
    importCache(exported) {
      imports.set(exported.handle, exported.tokens);
      totals.importedTokens += exported.tokens;
      cache.store(exported.blocks);
    },
    order(order) {
      if (options.checksFencing && order.fencing < newestFencing) {
        throw new ServingError('fenced', 'the order has an old fencing number');
      }
      if (clock.wall() > order.expiresAt) {
        throw new ServingError('deadline-exceeded', 'the order has expired');
      }
      newestFencing = Math.max(newestFencing, order.fencing);
      orderHandlers[order.type](order.target);
    },
    running: () => ({version, adapters, role}),
    setFaults(next) {
      faults = next;
      scheduleStep();
    },
    hasFault,
    totals: () => ({...totals}),
    dispose() {
      stepTimer?.dispose();
      const open = [...batch.splice(0), ...waiting.splice(0)];
      const lost = new ServingError('interrupted', 'the engine is gone');
      open.forEach(sequence => sequence.sink.fail(lost));
    },
  };
}
