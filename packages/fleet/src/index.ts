/** Host provisioning per failure domain and market; endpoint repair. */
export * from './clientToken.js';
export * from './contracts.js';
export * from './endpointRepair.js';
export * from './fleetDuty.js';
export * from './fleetActions.js';
export * from './hostPlan.js';
export * from './replicaDemand.js';
export * from './capacityPools.js';
