/**
 * Generates docs/reports/index.html, a page with plots and tables, from the
 * results in docs/reports/*.json (from `npm run bench -- NAME --out FILE`).
 *
 *   node tools/report.mjs
 */
import {execFileSync} from 'node:child_process';
import {readFileSync, readdirSync, statSync, writeFileSync} from 'node:fs';
import {basename, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import * as vega from 'vega';
import {compile} from 'vega-lite';
import {plots} from './reportPlots.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const reportsFolder = join(root, 'docs', 'reports');
const SIGNIFICANT_DIGITS = 4;
/** Length of `2026-01-31`. */
const ISO_DATE_LENGTH = 10;

const STYLE = `
body { font-family: sans-serif; margin: 2rem auto; max-width: 72rem; padding: 0 1rem; }
table { border-collapse: collapse; margin: 0.5rem 0 1rem; font-size: 0.85rem; }
th, td { border: 1px solid #ccc; padding: 0.15rem 0.5rem; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.wide { overflow-x: auto; }
svg { margin: 0 1rem 1rem 0; max-width: 100%; height: auto; }`;

function escapeHtml(text) {
  return String(text)
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}

function isObject(value) {
  return typeof value === 'object' && value !== null;
}

function isObjectArray(value) {
  return Array.isArray(value) && value.length > 0 && value.every(isObject);
}

function renderValue(value) {
  if (typeof value === 'number' && !Number.isInteger(value)) {
    return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
  }
  return escapeHtml(isObject(value) ? JSON.stringify(value) : (value ?? ''));
}

function renderTable(rows) {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
  const renderRow = (tag, cells) =>
    `<tr>${cells.map(cell => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
  const headerRow = renderRow('th', columns.map(escapeHtml));
  const bodyRows = rows.map(row =>
    renderRow(
      'td',
      columns.map(column => renderValue(row[column])),
    ),
  );
  return `<div class="wide"><table>\n${[headerRow, ...bodyRows].join('\n')}\n</table></div>`;
}

/**
 * Renders lists as tables, and an object of flat objects as one table with its
 * keys as first column.
 */
function renderTables(name, value) {
  if (isObjectArray(value)) {
    return `<h3>${escapeHtml(name)}</h3>\n${renderTable(value)}`;
  }
  if (!isObject(value) || Array.isArray(value)) {
    return renderTables(name, [{[name]: value}]);
  }
  const entries = Object.entries(value);
  const isFlat = entries.every(
    ([, entryValue]) =>
      isObject(entryValue) && !Object.values(entryValue).some(isObject),
  );
  if (isFlat) {
    const rows = entries.map(([key, row]) => ({name: key, ...row}));
    return renderTables(name, rows);
  }
  const scalarEntries = entries.filter(
    ([, entryValue]) => !isObject(entryValue),
  );
  const nestedEntries = entries.filter(([, entryValue]) =>
    isObject(entryValue),
  );
  const tables = nestedEntries.map(([key, entryValue]) =>
    renderTables(`${name}.${key}`, entryValue),
  );
  if (scalarEntries.length > 0) {
    tables.unshift(renderTables(name, [Object.fromEntries(scalarEntries)]));
  }
  return tables.join('\n');
}

async function renderPlot(spec) {
  const view = new vega.View(vega.parse(compile(spec).spec), {
    renderer: 'none',
  });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

/** Returns the date of a result's commit, or of the file if it is modified. */
function reportDate(path) {
  const git = (...args) =>
    execFileSync('git', args, {cwd: root, encoding: 'utf8'}).trim();
  const isModified = git('status', '--porcelain', '--', path) !== '';
  const commitDate = isModified
    ? ''
    : git('log', '-1', '--format=%cs', '--', path);
  return (
    commitDate || statSync(path).mtime.toISOString().slice(0, ISO_DATE_LENGTH)
  );
}

async function renderReport(path) {
  const {measurement, seed, tookSeconds, ...result} = JSON.parse(
    readFileSync(path, 'utf8'),
  );
  const specs = plots[measurement]?.(result) ?? [];
  const svgs = await Promise.all(specs.map(renderPlot));
  const scalars = Object.entries(result).filter(
    ([, value]) => !isObject(value),
  );
  const tables = Object.entries(result).filter(([, value]) => isObject(value));
  return [
    `<h2 id="${escapeHtml(measurement)}">${escapeHtml(measurement)}</h2>`,
    `<p>Seed ${seed}, ${reportDate(path)}, took ${renderValue(tookSeconds)} s; ` +
      `data: <a href="${basename(path)}">${basename(path)}</a>.</p>`,
    ...svgs,
    ...(scalars.length > 0 ? [renderTable([Object.fromEntries(scalars)])] : []),
    ...tables.map(([name, value]) => renderTables(name, value)),
  ].join('\n');
}

const fileNames = readdirSync(reportsFolder)
  .filter(name => name.endsWith('.json'))
  .sort();
const sections = [];
for (const name of fileNames) {
  sections.push(await renderReport(join(reportsFolder, name)));
}
const links = fileNames
  .map(name => basename(name, '.json'))
  .map(name => `<a href="#${name}">${name}</a>`);
const page = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>skylarkfield: measurements</title>
<style>${STYLE}
</style>
</head>
<body>
<h1>Measurements</h1>
<p>Generated by <code>tools/report.mjs</code> from the results beside this page. The machine was shared with
other processes during the runs, so durations and CPU times of real processes vary; decisions on virtual
clocks depend only on the seed.</p>
<p>${links.join(' · ')}</p>
${sections.join('\n')}
</body>
</html>
`;
writeFileSync(join(reportsFolder, 'index.html'), page);
console.log(`docs/reports/index.html: ${fileNames.join(', ')}`);
