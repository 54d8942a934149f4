/** Release version; a test compares it with the root package.json. */
export const VERSION = '0.1.0';
