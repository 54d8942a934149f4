/** Release version, which a test compares with that in the root package.json. */
export const VERSION = '0.1.0';
