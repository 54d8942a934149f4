/** Which version answers a model request, when the one it was given has no endpoint. */

export interface AnsweringVersion {
  /** Versions that the next attempt may run on, best first. */
  usable(deliveredTokens: number): readonly string[];
  /** An attempt was placed on an endpoint of a version. */
  placed(version: string): void;
  /** The first token of an attempt on a version has come. */
  streaming(version: string): void;
  /** The version that answers, or was the last to be asked to. */
  current(): string;
}

/**
 * Follows the versions of one request. Before the first token it may fall back
 * to the incumbent; an answer that has begun goes on with the version that began
 * it, or the caller would get one text from two versions.
 *
 * @example
 * const answering = createAnsweringVersion('v2', 'v1');
 * answering.usable(0); // ['v2', 'v1']
 */
export function createAnsweringVersion(
  version: string,
  incumbent: string,
): AnsweringVersion {
  let begun: string | undefined;
  let last = version;
  const choices = version === incumbent ? [version] : [version, incumbent];
  return {
    usable: deliveredTokens =>
      deliveredTokens > 0 ? [begun ?? version] : choices,
    placed(next) {
      last = next;
    },
    streaming(from) {
      begun = from;
    },
    current: () => begun ?? last,
  };
}
