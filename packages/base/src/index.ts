/**
 * Errors, clocks, random numbers, disposables, events, validation, logs,
 * metrics and hashing.
 */
export * from './bodyCollection.js';
export * from './boundedRead.js';
export * from './byteCollector.js';
export * from './clock.js';
export * from './connectionGuard.js';
export * from './connectionReset.js';
export * from './containedClock.js';
export * from './containment.js';
export * from './decisionLog.js';
export * from './disposables.js';
export * from './drainGuard.js';
export * from './dumps.js';
export * from './endConfirmation.js';
export * from './errors.js';
export * from './events.js';
export * from './hashing.js';
export * from './inFlight.js';
export * from './lingeringBodies.js';
export * from './logger.js';
export * from './metrics.js';
export * from './openResponses.js';
export * from './pausedResponses.js';
export * from './pausableClock.js';
export * from './processLifecycle.js';
export * from './propertyNames.js';
export * from './random.js';
export * from './requestBodyMemory.js';
export * from './responseFraming.js';
export * from './responseStatus.js';
export * from './shapes.js';
export * from './throttle.js';
export * from './timeLimit.js';
export * from './virtualClock.js';
