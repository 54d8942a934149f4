/** What work costs at an engine stand-in, and how late it reports. */

export interface EngineCosts {
  /** Requests decoded together. */
  readonly slots: number;
  /** Milliseconds of every step, however small. */
  readonly stepMs: number;
  readonly decodeMsPerSequence: number;
  readonly prefillMsPerToken: number;
  /** Prompt tokens that one step takes at most. */
  readonly prefillTokensPerStep: number;
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks: number;
  readonly cacheEventDelayMs: number;
  /** Probability that a cache event is lost. */
  readonly cacheEventLoss: number;
  /** Time between two load reports. */
  readonly reportIntervalMs: number;
  /** Time from taking a load report to its publication. */
  readonly reportLagMs: number;
  readonly bytesPerToken: number;
  readonly importBytesPerMs: number;
}

/** A mid-size model on one host: about 20 ms between tokens at a middling batch. */
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
