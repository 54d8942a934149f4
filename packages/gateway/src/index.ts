/** The gateway: requests of any service, by declared routes. */
export * from './contracts.js';
export * from './gatewayProcess.js';
export * from './settings.js';
