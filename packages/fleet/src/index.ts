/** Hosts per failure domain, machine class and market; repair. */
export * from './clientToken.js';
export * from './contracts.js';
export * from './endpointRepair.js';
export * from './fleetDuty.js';
export * from './fleetSteps.js';
export * from './hostPlan.js';
export * from './replicaDemand.js';
export * from './supplies.js';
