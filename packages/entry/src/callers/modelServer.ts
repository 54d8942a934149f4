/** Model request handling: version, admission, attempts and response. */
import {
  ServingError,
  toServingError,
  type Clock,
  type DrainGuard,
} from '@skylarkfield/base';
import type {AdmissionRequest, Permit} from '@skylarkfield/admission';
import {hashPromptBlocks, tokenizePrompt} from '@skylarkfield/endpoints';
import type {Service} from '@skylarkfield/records';
import type {
  EndpointPick,
  StreamRequest,
  StreamSummary,
} from '@skylarkfield/streams';
import type {EntrySettings} from '../settings.js';
import {availableVersions} from '../availableVersions.js';
import type {ServingContext} from '../servingContext.js';
import {hashSequenceBlocks} from './sequenceBlocks.js';
import {
  createVersionFallback,
  type VersionFallback,
} from './versionFallback.js';
import {failureOf, type Exchange} from './exchange.js';
import {
  createStreamedResponse,
  createBufferedResponse,
  type ResponseShape,
  type ModelResponse,
} from './modelResponse.js';
import type {ModelRequest} from './modelRequest.js';
import {isVersionFault, type RequestMetrics} from './requestMetrics.js';
import {noEndpointError} from './noEndpointError.js';
import {parseRequestTimeoutMs, parseRequestUrgency} from './requestHeaders.js';
import {toProblem} from './problem.js';
import {createRequestCostEstimator} from './requestCost.js';

export interface ModelServer {
  serve(
    exchange: Exchange,
    request: ModelRequest,
    service: Service,
    shape: ResponseShape,
  ): Promise<void>;
}

/** Properties of a request that are determined before its admission. */
interface RequestPlan {
  readonly admissionRequest: AdmissionRequest;
  /** Version selected by the traffic split. */
  readonly version: string;
  readonly fallback: VersionFallback;
  readonly promptTokens: number;
  /** Hashes of the prompt's cache blocks. */
  readonly blocks: readonly string[];
}

interface ModelServerOptions {
  readonly serving: ServingContext;
  readonly drainGuard: DrainGuard;
  readonly clock: Clock;
  readonly limits: EntrySettings['limits'];
  readonly metrics: RequestMetrics;
}

/**
 * Creates the handler of model requests.
 *
 * @example
 * const request = parseChatRequest(text, undefined);
 * await modelServer.serve(exchange, request, service, 'chat');
 */
export function createModelServer(options: ModelServerOptions): ModelServer {
  const {serving, drainGuard, clock, metrics} = options;
  const costEstimator = createRequestCostEstimator();

  return {
    async serve(exchange, request, service, shape) {
      const plan = planRequest(exchange, request, service);
      const permit = await drainGuard.admit(
        plan.admissionRequest.deadline,
        exchange.signal,
        signal => serving.admission.admit(plan.admissionRequest, signal),
      );
      const modelResponse = createModelResponse(exchange, request, shape);
      const progress = trackProgress(exchange, plan, permit, shape);
      try {
        const summary = await serving.streamRunner.run(
          toStreamRequest(exchange, request, plan),
          {
            pickEndpoint: (excluded, delivered) =>
              pickEndpoint(plan, request, excluded, delivered),
            mayRetry: () => serving.admission.tryAcquireRetry(service.name),
            deliver(token) {
              progress.recordToken();
              return modelResponse.deliver(token);
            },
          },
          exchange.signal,
        );
        progress.succeed(summary);
        modelResponse.finish(summary);
      } catch (error) {
        const failure = toServingError(error);
        progress.fail(failure);
        modelResponse.failIfStarted(
          toProblem(failureOf(failure, exchange.signal), exchange.id),
        );
        throw failure;
      }
    },
  };

  function planRequest(
    exchange: Exchange,
    request: ModelRequest,
    service: Service,
  ): RequestPlan {
    const {headers} = exchange.request;
    const deadline =
      exchange.arrivedAt + parseRequestTimeoutMs(headers, service.timeoutMs);
    const tokens = tokenizePrompt(request.prompt);
    const blocks = hashPromptBlocks(tokens);
    const version = serving.trafficSplit.versionFor({
      service: service.name,
      incumbent: service.version,
      session: request.session,
      isIdempotent: true,
    });
    return {
      admissionRequest: {
        service: service.name,
        customer: exchange.customer.name,
        urgency: parseRequestUrgency(headers, exchange.customer.bestUrgency),
        deadline,
        cost: costEstimator.estimateCost(service.name, {
          promptTokens: tokens.length,
          cachedTokens: serving.router.cachedTokens(
            service.name,
            version,
            blocks,
          ),
          maxTokens: request.maxTokens,
        }),
      },
      version,
      fallback: createVersionFallback(
        version,
        serving.trafficSplit.incumbentFor(service.name, service.version),
      ),
      promptTokens: tokens.length,
      blocks,
    };
  }

  /**
   * Creates callbacks that report the progress and result of a request to
   * admission control, the traffic split and the metrics.
   */
  function trackProgress(
    exchange: Exchange,
    plan: RequestPlan,
    permit: Permit,
    shape: ResponseShape,
  ) {
    const {service} = plan.admissionRequest;
    const admittedAt = clock.now();
    let firstTokenLatencyMs: number | undefined;

    function recordSample(
      version: string,
      isError: boolean,
      latencyMs: number,
    ): void {
      serving.trafficSplit.recordSample({
        service,
        version,
        route: shape,
        isError,
        latencyMs,
        loadFraction: serving.admission.loadFraction(service),
      });
    }

    /**
     * Records an error of the selected version, which did not serve the
     * request, unless all endpoints of that version were reclaimed.
     */
    function recordUnavailable(): void {
      if (availableVersions(service, serving.endpointPool).has(plan.version)) {
        recordSample(plan.version, true, 0);
      }
    }

    return {
      recordToken() {
        if (firstTokenLatencyMs !== undefined) {
          return;
        }
        firstTokenLatencyMs = clock.now() - admittedAt;
        metrics.recordFirstToken(service, clock.now() - exchange.arrivedAt);
      },
      succeed(summary: StreamSummary) {
        const latencyMs = firstTokenLatencyMs ?? clock.now() - admittedAt;
        permit.release({outcome: 'ok', latencyMs});
        metrics.recordRecomputedTokens(service, summary.recomputedTokens);
        if (plan.fallback.currentVersion() !== plan.version) {
          recordUnavailable();
          return;
        }
        recordSample(plan.version, summary.attempts > 1, latencyMs);
      },
      fail(error: ServingError) {
        const latencyMs = clock.now() - admittedAt;
        const outcome = error.kind === 'cancelled' ? 'cancelled' : 'failed';
        permit.release({outcome, latencyMs});
        const version = plan.fallback.currentVersion();
        if (isVersionFault(error)) {
          recordSample(version, true, latencyMs);
        }
        const isUnavailable = error.kind === 'endpoint-unavailable';
        if (isUnavailable || version !== plan.version) {
          recordUnavailable();
        }
      },
    };
  }

  function createModelResponse(
    exchange: Exchange,
    request: ModelRequest,
    shape: ResponseShape,
  ): ModelResponse {
    const create = request.isStream
      ? createStreamedResponse
      : createBufferedResponse;
    return create({
      id: exchange.id,
      model: request.service,
      shape,
      response: exchange.response,
      clock,
      bufferedBytes: options.limits.bufferedBytes,
      stalledReaderMs: options.limits.stalledReaderMs,
      signal: exchange.signal,
    });
  }

  function pickEndpoint(
    plan: RequestPlan,
    request: ModelRequest,
    excludedEndpoints: ReadonlySet<string>,
    deliveredTokens: readonly string[],
  ): EndpointPick {
    const {service} = plan.admissionRequest;
    const blocks = hashSequenceBlocks(
      request.prompt,
      plan.blocks,
      deliveredTokens,
    );
    const pick = pickFirstAvailable(
      plan.fallback.eligibleVersions(deliveredTokens.length),
    );
    if (pick === undefined) {
      throw noEndpointError(
        service,
        plan.version,
        serving.router.rateLimitWaitMs(service),
      );
    }
    const {choice, endpoint, engine, version} = pick;
    plan.fallback.recordAttempt(version);
    return {
      endpoint: choice.endpoint,
      url: endpoint.listedEndpoint.url,
      engine,
      version,
      cachedTokens: choice.cachedTokens,
      leavingSignal: endpoint.leavingSignal,
      goneAtMs: () => endpoint.goneAt?.(),
      onStart: cachedTokens => choice.recordStart(cachedTokens),
      onFirstToken() {
        plan.fallback.recordFirstToken(version);
        choice.recordFirstToken();
      },
      finish: result => choice.finish(result),
    };

    function pickFirstAvailable(versions: readonly string[]) {
      for (const version of versions) {
        const choice = serving.router.choose({
          service,
          version,
          blocks,
          promptTokens: plan.promptTokens + deliveredTokens.length,
          excluded: excludedEndpoints,
        });
        const endpoint = choice && serving.endpointPool.get(choice.endpoint);
        if (choice && endpoint?.engine) {
          return {choice, endpoint, engine: endpoint.engine, version};
        }
        choice?.finish({outcome: 'unreachable', latencyMs: 0});
      }
      return undefined;
    }
  }
}

function toStreamRequest(
  exchange: Exchange,
  request: ModelRequest,
  plan: RequestPlan,
): StreamRequest {
  const {deadline, urgency} = plan.admissionRequest;
  return {
    id: exchange.id,
    prompt: request.prompt,
    maxTokens: request.maxTokens,
    urgency,
    seed: request.seed,
    firstTokenDeadline: deadline,
    deadline,
  };
}
