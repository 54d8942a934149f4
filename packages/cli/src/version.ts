/** The release's version; kept equal to the root package's by a test. */
export const VERSION = '0.1.0';
