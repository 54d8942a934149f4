/** Dependencies shared by all components of a gateway process. */
import type {
  Clock,
  DecisionLog,
  DrainGuard,
  DumpRegistry,
  InFlightCounter,
  Logger,
  ProcessLifecycle,
  Random,
} from '@skylarkfield/base';
import type {Platform} from './contracts.js';
import type {RequestBodies} from './callers/requestBodies.js';
import type {RequestMetrics} from './callers/requestMetrics.js';
import type {GatewaySettings} from './settings.js';
import type {EndpointConnector} from './attempts/upstream.js';

export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly platform: Platform;
  /**
   * Wall-clock milliseconds at which the process started. Distinguishes
   * processes that use the same id one after another; does not change when a
   * process is paused.
   */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly decisions: DecisionLog;
  readonly dumps: DumpRegistry;
  readonly metrics: RequestMetrics;
  readonly lifecycle: ProcessLifecycle;
  readonly drainGuard: DrainGuard;
  readonly inFlight: InFlightCounter;
  readonly requestBodies: RequestBodies;
  /** Opens connections to endpoints. */
  readonly connectEndpoint: EndpointConnector;
}

export const MS_PER_SECOND = 1_000;
