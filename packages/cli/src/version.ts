/** Release version; a test checks that it equals that of the root package. */
export const VERSION = '0.1.0';
