/** Choice of the endpoints that attempts are sent to. */
import type {Clock} from '@skylarkfield/base';
import type {Choice, EndpointReach, Router} from '@skylarkfield/routing';
import {createHedgeTargets} from '../attempts/hedgeTargets.js';
import type {Stall} from '../attempts/stallTimer.js';
import type {CrashGuard} from '../crashes/crashGuard.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {ForwardedCall} from './forwardedCall.js';
import type {Progress} from './retryRules.js';
import {createRoutingRequest} from './routingRequest.js';
import type {Continuation} from './streamMigration.js';

/** The endpoint of an attempt, and the KV cache that it resumes from. */
export interface EndpointTarget {
  readonly choice: Choice;
  readonly kvCache?: Continuation['kvCache'];
}

export interface EndpointTargets {
  /**
   * Returns the migration target of the stream, or else a newly chosen
   * endpoint; undefined if there is no endpoint to choose.
   */
  chooseTarget(
    call: ForwardedCall,
    progress: Progress,
  ): EndpointTarget | undefined;
  /**
   * Returns an endpoint for a call whose attempt has stalled; undefined unless
   * one with a free slot has responded since then. While all of them are silent,
   * another one would be as silent.
   */
  chooseHedgeTarget(
    call: ForwardedCall,
    progress: Progress,
    stall: Stall,
  ): EndpointTarget | undefined;
  /**
   * Returns an endpoint that a stream may be migrated to; undefined if there is
   * none or the call is quarantined.
   */
  chooseMigrationTarget(
    call: ForwardedCall,
    progress: Progress,
  ): Choice | undefined;
}

/**
 * Creates the choice of endpoints of one entry.
 *
 * @example
 * const target = targets.chooseTarget(call, progress);
 */
export function createEndpointTargets(options: {
  readonly router: Router;
  readonly crashGuard: Pick<CrashGuard, 'isQuarantined' | 'isSuspected'>;
  readonly directory: Pick<EndpointDirectory, 'get' | 'probeTargets'>;
  readonly reach: Pick<EndpointReach, 'hasRespondedSince'>;
  readonly clock: Clock;
}): EndpointTargets {
  const {router, crashGuard} = options;
  const hedgeTargets = createHedgeTargets(options);

  /**
   * Chooses an endpoint of the call's version group or, if none is available,
   * an endpoint of the incumbent group.
   */
  function chooseEndpoint(
    call: ForwardedCall,
    excludedEndpoints: ReadonlySet<string>,
  ): Choice | undefined {
    const routingRequest = createRoutingRequest(
      call,
      excludedEndpoints,
      crashGuard.isSuspected(call),
    );
    return (
      router.choose(routingRequest) ??
      router.choose({...routingRequest, version: 'incumbent'})
    );
  }

  return {
    chooseTarget(call, progress) {
      const {continuation} = progress;
      progress.continuation = undefined;
      if (continuation !== undefined) {
        return continuation;
      }
      const choice = chooseEndpoint(call, progress.excludedEndpoints);
      return choice && {choice};
    },
    chooseHedgeTarget(call, progress, stall) {
      const silentEndpoints = hedgeTargets.findSilentEndpoints(
        call.service,
        stall,
      );
      if (silentEndpoints === undefined) {
        return undefined;
      }
      const choice = chooseEndpoint(
        call,
        new Set([...progress.excludedEndpoints, ...silentEndpoints]),
      );
      if (choice === undefined || hedgeTargets.hasFreeSlot(choice)) {
        return choice && {choice};
      }
      choice.finish({outcome: 'cancelled', latencyMs: 0});
      return undefined;
    },
    chooseMigrationTarget: (call, {excludedEndpoints}) =>
      crashGuard.isQuarantined(call)
        ? undefined
        : chooseEndpoint(call, excludedEndpoints),
  };
}
