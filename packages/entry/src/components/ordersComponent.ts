/** Order ledger of this entry, for calls that run at most once. */
import {ServingError} from '@skylarkfield/base';
import type {TrafficSplit} from '@skylarkfield/moves';
import {
  createLedger,
  type Ledger,
  type OrderCall,
  type OrderReply,
} from '@skylarkfield/orders';
import type {Configuration} from '@skylarkfield/records';
import type {AttemptRunner} from '../callers/attemptRunner.js';
import {matchRoute} from '../callers/routes.js';
import type {EntryContext} from '../context.js';
import type {MembersComponent} from './membersComponent.js';
import {createOrderMetrics} from './orderMetrics.js';
import type {PlatformComponent} from './platformComponent.js';

interface OrdersComponentOptions {
  readonly platform: PlatformComponent;
  readonly members: MembersComponent;
  readonly configuration: Configuration;
  readonly trafficSplit: TrafficSplit;
  readonly attemptRunner: AttemptRunner;
}

/**
 * Creates the ledger. A claimed order is dispatched to an endpoint of the
 * version that is assigned to the order's session at the time of the dispatch.
 *
 * @example
 * const ledger = createOrdersComponent(context, options);
 */
export function createOrdersComponent(
  context: EntryContext,
  options: OrdersComponentOptions,
): Ledger {
  const {settings, clock, random, decisions, dumps} = context;
  const {membership, network} = options.members;
  const ledger = createLedger({
    store: options.platform.objectStore,
    network,
    dispatch,
    clock,
    random,
    member: settings.id,
    liveMembers: () => membership.liveMembers().map(member => member.id),
    answeringMembers: () =>
      membership
        .members()
        .filter(member => member.state === 'live' || member.state === 'leaving')
        .map(member => member.id),
    decisions,
    observer: createOrderMetrics(
      context.meter,
      name => options.configuration.get('service', name) !== undefined,
    ),
  });
  dumps.add('orders', () => ledger.dump());
  return ledger;

  async function dispatch(
    serviceName: string,
    call: OrderCall,
    signal: AbortSignal,
    begin: () => boolean,
  ): Promise<OrderReply> {
    const service = options.configuration.get('service', serviceName);
    if (service === undefined) {
      // The service was removed while the order was queued: nothing has run.
      throw new ServingError(
        'endpoint-unavailable',
        `service ${serviceName} was removed`,
      );
    }
    const version = options.trafficSplit.versionFor({
      service: serviceName,
      incumbent: service.version,
      session:
        call.headers['x-session-id'] ?? call.headers['x-request-id'] ?? '',
      isIdempotent: false,
    });
    return options.attemptRunner.runAtMostOnce(
      {
        service: serviceName,
        version,
        incumbent: options.trafficSplit.incumbentFor(
          serviceName,
          service.version,
        ),
        route: matchRoute(service, call.method, call.path).label,
        call,
        deadline: clock.now() + service.timeoutMs,
      },
      signal,
      begin,
    );
  }
}
