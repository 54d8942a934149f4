/** Renders the report of a measurement as text tables. */

type Row = Record<string, unknown>;

const SIGNIFICANT_DIGITS = 4;

/**
 * Renders scalar values as `name  value` lines and each list of objects as a
 * table.
 *
 * @example
 * console.log(renderTable({seed: 1, cases: [{load: 1, goodput: 0.99}]}));
 */
export function renderTable(result: object): string {
  const sections: string[] = [];
  const scalars = Object.entries(result).filter(([, value]) => !isTable(value));
  sections.push(renderScalars(flatten(scalars)));
  for (const [name, value] of Object.entries(result)) {
    if (isTable(value)) {
      sections.push(`${name}\n${renderRows(value)}`);
    }
  }
  return sections.filter(part => part !== '').join('\n\n');
}

function isTable(value: unknown): value is Row[] {
  return (
    Array.isArray(value) &&
    value.length > 0 &&
    value.every(item => typeof item === 'object' && item !== null)
  );
}

/** Flattens nested objects to dotted names. */
function flatten(pairs: [string, unknown][]): [string, unknown][] {
  return pairs.flatMap(([name, value]) => {
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      return [[name, value] as [string, unknown]];
    }
    return flatten(
      Object.entries(value).map(([key, innerValue]) => [
        `${name}.${key}`,
        innerValue,
      ]),
    );
  });
}

function renderScalars(pairs: [string, unknown][]): string {
  const width = Math.max(0, ...pairs.map(([name]) => name.length));
  return pairs
    .map(([name, value]) => `${name.padEnd(width)}  ${renderValue(value)}`)
    .join('\n');
}

function renderRows(rows: readonly Row[]): string {
  const flatRows = rows.map(
    row => Object.fromEntries(flatten(Object.entries(row))) as Row,
  );
  const columns = [...new Set(flatRows.flatMap(row => Object.keys(row)))];
  const cells = flatRows.map(row =>
    columns.map(name => renderValue(row[name])),
  );
  const widths = columns.map((name, index) =>
    Math.max(name.length, ...cells.map(row => row[index]?.length ?? 0)),
  );
  return [columns, ...cells]
    .map(row =>
      row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  '),
    )
    .map(line => line.trimEnd())
    .join('\n');
}

function renderValue(value: unknown): string {
  if (value === undefined) {
    return '';
  }
  if (typeof value === 'number' && !Number.isInteger(value)) {
    return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}
