/** Fallback of a model request to the incumbent version. */

export interface VersionFallback {
  /** Returns the versions that the next attempt may use, preferred first. */
  eligibleVersions(deliveredTokens: number): readonly string[];
  /** Records that an attempt was sent to an endpoint of a version. */
  recordAttempt(version: string): void;
  /** Records the first token of an attempt on a version. */
  recordFirstToken(version: string): void;
  /** Returns the version of the first token, or else of the last attempt. */
  current(): string;
}

/**
 * Tracks the version of one request. Before the first token, the request may
 * fall back to the incumbent; afterwards, only the version that started the
 * response may resume it, since a response must not mix two versions.
 *
 * @example
 * const fallback = createVersionFallback('v2', 'v1');
 * fallback.eligibleVersions(0); // ['v2', 'v1']
 */
export function createVersionFallback(
  version: string,
  incumbent: string,
): VersionFallback {
  let streamingVersion: string | undefined;
  let lastAttemptedVersion = version;
  const choices = version === incumbent ? [version] : [version, incumbent];
  return {
    eligibleVersions: deliveredTokens =>
      deliveredTokens > 0 ? [streamingVersion ?? version] : choices,
    recordAttempt(attemptedVersion) {
      lastAttemptedVersion = attemptedVersion;
    },
    recordFirstToken(startedVersion) {
      streamingVersion = startedVersion;
    },
    current: () => streamingVersion ?? lastAttemptedVersion,
  };
}
