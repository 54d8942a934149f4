/** Reach of a gateway: probes endpoints, and asks and answers other entries. */
import {createDisposableStore} from '@skylarkfield/base';
import {
  createEndpointReach,
  type EndpointReach,
  type Rests,
} from '@skylarkfield/routing';
import type {GatewayContext} from '../context.js';
import type {ResponseHead} from '../contracts.js';
import type {Coordination} from '../process/coordination.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import {createAddressProbe} from './addressProbe.js';
import {createEndpointProbe} from './endpointProbe.js';
import {answerPeers, askPeers} from './peerReach.js';
import {announceReach} from './reachAnnouncement.js';

/**
 * Creates the reach of a gateway's endpoints.
 *
 * @example
 * const reach = createGatewayReach(context, coordination, directory,
 *   rests, endpointReports.recordProbeHead);
 */
export function createGatewayReach(
  context: GatewayContext,
  {network, membership}: Coordination,
  directory: EndpointDirectory,
  rests: Pick<Rests, 'isResting'>,
  onDidProbe: (endpoint: string, head: ResponseHead) => void,
): EndpointReach {
  const {clock, random, decisions, log} = context;
  const disposables = createDisposableStore();
  const reach = disposables.add(
    createEndpointReach({
      clock,
      random,
      decisions,
      endpointsOf: service =>
        directory.probeTargets(service).filter(({id}) => !rests.isResting(id)),
      probe: createEndpointProbe({
        probe: createAddressProbe({
          clock,
          connect: context.connectEndpoint,
          format: context.platform.callFormat,
        }),
        addressOf: key => directory.get(key)?.address,
        onDidRespond: onDidProbe,
      }),
      askPeers: service =>
        askPeers({network, membership, random, log}, service),
    }),
  );
  disposables.add(answerPeers(network, reach));
  disposables.add(announceReach({reach, membership, clock}));
  context.dumps.add('reach', () => reach.dump());
  return {...reach, dispose: () => disposables.dispose()};
}
