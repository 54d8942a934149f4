/** KV caches that an engine stand-in has exported or imported. */

/** Contents of an exported KV cache. */
export interface ExportedCache {
  readonly handle: string;
  readonly tokens: number;
  readonly bytes: number;
  readonly blocks: readonly string[];
}

/** Map by handle that evicts its oldest value above a fixed capacity. */
export interface BoundedMap<Value> {
  get(handle: string): Value | undefined;
  set(handle: string, value: Value): void;
}

/**
 * Creates an empty map of at most `capacity` values.
 *
 * @example
 * const exports = createBoundedMap<ExportedCache>(256);
 * exports.set(exported.handle, exported);
 */
export function createBoundedMap<Value>(capacity: number): BoundedMap<Value> {
  const values = new Map<string, Value>();
  return {
    get: handle => values.get(handle),
    set(handle, value) {
      values.set(handle, value);
      if (values.size > capacity) {
        values.delete(values.keys().next().value!);
      }
    },
  };
}
