/** Prints the results of commands to stdout; errors and logs go to stderr. */

/**
 * Prints a value as one JSON line.
 *
 * @example
 * printJson({ready: true, url});
 */
export function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

/**
 * Prints a line of text.
 *
 * @example
 * printLine('settings are valid');
 */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

/**
 * Prints rows under headings, in columns as wide as their widest cell.
 *
 * @example
 * printTable(['service', 'version'], [['booking', 'v2']]);
 */
export function printTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): void {
  const allRows = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...allRows.map(row => (row[column] ?? '').length)),
  );
  for (const row of allRows) {
    const cells = widths.map((width, column) =>
      (row[column] ?? '').padEnd(width),
    );
    printLine(cells.join('  ').trimEnd());
  }
}
