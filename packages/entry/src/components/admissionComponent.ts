/** Admission control of this entry, configured by the records in force. */
import {
  createAdmissionController,
  type AdmissionController,
} from '@skylarkfield/admission';
import type {Membership} from '@skylarkfield/members';
import type {Configuration} from '@skylarkfield/records';
import type {EntryContext} from '../context.js';

/**
 * Creates the admission controller and updates its services, customer weights
 * and number of live entries when the configuration or membership changes.
 *
 * @example
 * createAdmissionComponent(context, configuration, membership);
 */
export function createAdmissionComponent(
  context: EntryContext,
  configuration: Configuration,
  membership: Membership,
): AdmissionController {
  const {clock, random, decisions, dumps} = context;
  const admission = createAdmissionController({clock, random, decisions});
  dumps.add('admission', () => admission.dump());
  configuration.list('service').forEach(service => applyService(service.name));
  configuration
    .list('customer')
    .forEach(customer => applyCustomer(customer.name));
  configuration.onDidChange((kind, name) => {
    if (kind === 'service') {
      applyService(name);
    }
    if (kind === 'customer') {
      applyCustomer(name);
    }
  });
  applyEntryCount();
  membership.onDidChange(applyEntryCount);
  return admission;

  function applyService(name: string): void {
    admission.setService(name, configuration.get('service', name));
  }

  function applyCustomer(name: string): void {
    const customer = configuration.get('customer', name);
    admission.setCustomerWeight(name, customer?.weight);
  }

  function applyEntryCount(): void {
    admission.setEntryCount(Math.max(1, membership.liveMembers().length));
  }
}
