/** The way of a model request: version, admission, attempts, answer. */
import {ServingError, toServingError, type Clock} from '@skylarkfield/base';
import type {AdmissionRequest, Permit} from '@skylarkfield/admission';
import {hashPromptBlocks, tokenizePrompt} from '@skylarkfield/endpoints';
import type {Service} from '@skylarkfield/records';
import type {
  EndpointPick,
  StreamRequest,
  StreamSummary,
} from '@skylarkfield/streams';
import type {EntrySettings} from '../settings.js';
import {listedVersions} from '../listedVersions.js';
import type {Serving} from '../serving.js';
import {answerBlocks} from './answerBlocks.js';
import {
  createAnsweringVersion,
  type AnsweringVersion,
} from './answeringVersion.js';
import type {Exchange} from './exchange.js';
import {
  streamedAnswer,
  wholeAnswer,
  type AnswerShape,
  type ModelAnswer,
} from './modelAnswer.js';
import type {ModelRequest} from './modelRequest.js';
import {isVersionFault, type RequestMetrics} from './observation.js';
import {noEndpoint} from './noEndpoint.js';
import {requestTimeout, requestUrgency} from './requestHeaders.js';
import {toProblem} from './problem.js';
import {createRequestCosts} from './requestCost.js';

export interface ModelServer {
  serve(
    exchange: Exchange,
    request: ModelRequest,
    service: Service,
    shape: AnswerShape,
  ): Promise<void>;
}

/** What is decided about a request before it asks for capacity. */
interface ModelPlan {
  readonly ask: AdmissionRequest;
  readonly version: string;
  readonly answering: AnsweringVersion;
  readonly promptTokens: number;
  readonly blocks: readonly string[];
}

interface ModelServerOptions {
  readonly serving: Serving;
  readonly clock: Clock;
  readonly limits: EntrySettings['limits'];
  readonly metrics: RequestMetrics;
}

/**
 * Makes the handler of model requests.
 *
 * @example
 * await models.serve(exchange, parseChatRequest(text, undefined), service, 'chat');
 */
export function createModelServer(options: ModelServerOptions): ModelServer {
  const {serving, clock, metrics} = options;
  const costs = createRequestCosts();

  return {
    async serve(exchange, request, service, shape) {
      const plan = planRequest(exchange, request, service);
      const permit = await serving.admission.admit(plan.ask, exchange.signal);
      const answer = makeAnswer(exchange, request, shape);
      const progress = followProgress(exchange, plan, permit, shape);
      try {
        const summary = await serving.streams.run(
          toStreamRequest(exchange, request, plan),
          {
            pickEndpoint: (excluded, delivered) =>
              placeAttempt(plan, request, excluded, delivered),
            mayRetry: () => serving.admission.tryRetry(service.name),
            deliver(token) {
              progress.noteToken();
              return answer.deliver(token);
            },
          },
          exchange.signal,
        );
        progress.succeed(summary);
        answer.finish(summary);
      } catch (error) {
        const failure = toServingError(error);
        progress.fail(failure);
        answer.failMidway(toProblem(failure, exchange.id));
        throw failure;
      }
    },
  };

  function planRequest(
    exchange: Exchange,
    request: ModelRequest,
    service: Service,
  ): ModelPlan {
    const {headers} = exchange.request;
    const deadline =
      exchange.arrivedAt + requestTimeout(headers, service.timeoutMs);
    const tokens = tokenizePrompt(request.prompt);
    const blocks = hashPromptBlocks(tokens);
    const version = serving.split.versionFor({
      service: service.name,
      incumbent: service.version,
      session: request.session,
      isIdempotent: true,
    });
    return {
      ask: {
        service: service.name,
        customer: exchange.customer.name,
        urgency: requestUrgency(headers, exchange.customer.bestUrgency),
        deadline,
        cost: costs.costOf(service.name, {
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
      answering: createAnsweringVersion(
        version,
        serving.split.incumbentFor(service.name, service.version),
      ),
      promptTokens: tokens.length,
      blocks,
    };
  }

  /** Follows one answer and reports how it went, once, to admission, moves and metrics. */
  function followProgress(
    exchange: Exchange,
    plan: ModelPlan,
    permit: Permit,
    shape: AnswerShape,
  ) {
    const {service} = plan.ask;
    const admittedAt = clock.now();
    let firstTokenMs: number | undefined;

    function observe(
      version: string,
      isError: boolean,
      latencyMs: number,
    ): void {
      serving.split.observe({
        service,
        version,
        route: shape,
        isError,
        latencyMs,
        loadFraction: serving.admission.loadFraction(service),
      });
    }

    /**
     * The request ended without an answer from the version it was given. That
     * is no fault of a version whose endpoints were all reclaimed.
     */
    function observeUnavailable(): void {
      if (listedVersions(service, serving.endpoints).has(plan.version)) {
        observe(plan.version, true, 0);
      }
    }

    return {
      noteToken() {
        if (firstTokenMs !== undefined) {
          return;
        }
        firstTokenMs = clock.now() - admittedAt;
        metrics.firstToken(service, clock.now() - exchange.arrivedAt);
      },
      succeed(summary: StreamSummary) {
        const latencyMs = firstTokenMs ?? clock.now() - admittedAt;
        permit.release({outcome: 'ok', latencyMs});
        metrics.recomputed(service, summary.recomputedTokens);
        if (plan.answering.current() !== plan.version) {
          observeUnavailable();
          return;
        }
        observe(plan.version, summary.attempts > 1, latencyMs);
      },
      fail(error: ServingError) {
        const latencyMs = clock.now() - admittedAt;
        const outcome = error.kind === 'cancelled' ? 'cancelled' : 'failed';
        permit.release({outcome, latencyMs});
        const version = plan.answering.current();
        if (isVersionFault(error)) {
          observe(version, true, latencyMs);
        }
        const isUnavailable = error.kind === 'endpoint-unavailable';
        if (isUnavailable || version !== plan.version) {
          observeUnavailable();
        }
      },
    };
  }

  function makeAnswer(
    exchange: Exchange,
    request: ModelRequest,
    shape: AnswerShape,
  ): ModelAnswer {
    const make = request.isStream ? streamedAnswer : wholeAnswer;
    return make({
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

  function placeAttempt(
    plan: ModelPlan,
    request: ModelRequest,
    excluded: ReadonlySet<string>,
    delivered: readonly string[],
  ): EndpointPick {
    const {service} = plan.ask;
    const blocks = answerBlocks(request.prompt, plan.blocks, delivered);
    const placed = firstPlaced(plan.answering.usable(delivered.length));
    if (placed === undefined) {
      throw noEndpoint(service, plan.version);
    }
    const {choice, endpoint, engine, version} = placed;
    plan.answering.placed(version);
    return {
      endpoint: choice.endpoint,
      url: endpoint.listed.url,
      engine,
      cachedTokens: choice.cachedTokens,
      leaving: endpoint.leaving,
      goneAt: () => endpoint.goneAt?.(),
      onStart: cachedTokens => choice.started(cachedTokens),
      onFirstToken() {
        plan.answering.streaming(version);
        choice.streaming();
      },
      finish: result => choice.finish(result),
    };

    function firstPlaced(versions: readonly string[]) {
      for (const version of versions) {
        const choice = serving.router.choose({
          service,
          version,
          blocks,
          promptTokens: plan.promptTokens + delivered.length,
          excluded,
        });
        const endpoint = choice && serving.endpoints.get(choice.endpoint);
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
  plan: ModelPlan,
): StreamRequest {
  const {deadline, urgency} = plan.ask;
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
