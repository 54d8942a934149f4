/** Keys of requests, and sets of values by key. */

/**
 * Returns the key of an asker's request.
 *
 * @example
 * byKey.get(keyOf('a1', request.id));
 */
export function keyOf(asker: string, id: string): string {
  return `${asker}/${id}`;
}

/**
 * Adds a value to the set of a key.
 *
 * @example
 * addTo(idsByAsker, 'a1', 'r7');
 */
export function addTo<T>(
  sets: Map<string, Set<T>>,
  key: string,
  value: T,
): void {
  const values = sets.get(key) ?? new Set();
  values.add(value);
  sets.set(key, values);
}

/**
 * Deletes a value from the set of a key, and the set when it is empty.
 *
 * @example
 * deleteFrom(idsByAsker, 'a1', 'r7');
 */
export function deleteFrom<T>(
  sets: Map<string, Set<T>>,
  key: string,
  value: T,
): void {
  const values = sets.get(key);
  values?.delete(value);
  if (values?.size === 0) {
    sets.delete(key);
  }
}
