/** Simulated time and memory costs and report delays of an engine stand-in. */

export interface EngineCosts {
  /** Maximum number of requests in the batch. */
  readonly slots: number;
  /** Fixed duration of a step, in milliseconds. */
  readonly stepMs: number;
  readonly decodeMsPerSequence: number;
  readonly prefillMsPerToken: number;
  /** Maximum prompt tokens prefilled in one step. */
  readonly prefillTokensPerStep: number;
  /** Capacity of the prefix cache, in blocks. */
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: number;
  /** Probability that a cache event is lost. */
  readonly cacheEventLoss: number;
  /** Interval between load reports. */
  readonly reportIntervalMs: number;
  /** Delay from sampling a load report to its publication. */
  readonly reportLagMs: number;
  /** Size of the KV cache of one token. */
  readonly bytesPerToken: number;
  /** Bandwidth of fetching an exported KV cache. */
  readonly importBytesPerMs: number;
}

/** A mid-size model on one host: about 20 ms per token at medium batch size. */
export const defaultEngineCosts: EngineCosts = {
  slots: 24,
  stepMs: 14,
  decodeMsPerSequence: 0.3,
  prefillMsPerToken: 0.1,
  prefillTokensPerStep: 256,
  cacheBlocks: 4000,
  cacheEventDelayMs: 300,
  cacheEventLoss: 0,
  reportIntervalMs: 250,
  reportLagMs: 250,
  bytesPerToken: 128 * 1024,
  importBytesPerMs: 1024 * 1024,
};
