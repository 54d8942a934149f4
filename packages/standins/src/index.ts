export * from './service/index.js';
