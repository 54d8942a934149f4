/** Release version; a test compares it with that of the root package.json. */
export const VERSION = '0.1.0';
