/** Names that plain objects inherit as properties. */

/**
 * Returns whether every plain object has a property of this name, so that the
 * name cannot be a key of a plain object.
 *
 * @example
 * isInheritedProperty('constructor'); // true
 */
export function isInheritedProperty(name: string): boolean {
  return name in Object.prototype;
}
