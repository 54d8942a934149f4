/** Fallback of a model request to the incumbent version. */

export interface VersionFallback {
  /** Returns the versions for the next attempt, the preferred version first. */
  eligibleVersions(deliveredTokenCount: number): readonly string[];
  /** Records that an attempt was sent to an endpoint of a version. */
  recordAttempt(version: string): void;
  /** Records that an endpoint of a version sent the first token. */
  recordFirstToken(version: string): void;
  /** Returns the version of the first token; before it, of the last attempt. */
  currentVersion(): string;
}

/**
 * Tracks the version of one request. Before the first token, the request may
 * fall back to the incumbent; afterwards, only the version that sent the first
 * token may resume the response, which must not mix two versions.
 *
 * @example
 * const fallback = createVersionFallback('v2', 'v1');
 * fallback.eligibleVersions(0); // ['v2', 'v1']
 */
export function createVersionFallback(
  assignedVersion: string,
  incumbent: string,
): VersionFallback {
  let streamingVersion: string | undefined;
  let lastAttemptedVersion = assignedVersion;
  const initialVersions =
    assignedVersion === incumbent
      ? [assignedVersion]
      : [assignedVersion, incumbent];
  return {
    eligibleVersions: deliveredTokenCount =>
      deliveredTokenCount > 0
        ? [streamingVersion ?? assignedVersion]
        : initialVersions,
    recordAttempt(attemptedVersion) {
      lastAttemptedVersion = attemptedVersion;
    },
    recordFirstToken(startedVersion) {
      streamingVersion = startedVersion;
    },
    currentVersion: () => streamingVersion ?? lastAttemptedVersion,
  };
}
