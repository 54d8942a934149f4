/**
 * Writes docs/reports/index.html, a page with plots and tables, from the
 * results in docs/reports/*.json, which `npm run bench -- NAME --out FILE` makes.
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
const folder = join(root, 'docs', 'reports');
const SIGNIFICANT_DIGITS = 4;
/** Length of `2026-01-31`. */
const DATE_LENGTH = 10;

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

function isRows(value) {
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
  const line = (tag, cells) =>
    `<tr>${cells.map(cell => `<${tag}>${cell}</${tag}>`).join('')}</tr>`;
  const head = line('th', columns.map(escapeHtml));
  const body = rows.map(row =>
    line(
      'td',
      columns.map(column => renderValue(row[column])),
    ),
  );
  return `<div class="wide"><table>\n${[head, ...body].join('\n')}\n</table></div>`;
}

/** Lists become tables; an object of objects becomes one with its keys in front. */
function renderPart(name, value) {
  if (isRows(value)) {
    return `<h3>${escapeHtml(name)}</h3>\n${renderTable(value)}`;
  }
  if (!isObject(value) || Array.isArray(value)) {
    return renderPart(name, [{[name]: value}]);
  }
  const entries = Object.entries(value);
  const isFlat = entries.every(
    ([, inner]) => isObject(inner) && !Object.values(inner).some(isObject),
  );
  if (isFlat) {
    const rows = entries.map(([key, row]) => ({name: key, ...row}));
    return renderPart(name, rows);
  }
  const figures = entries.filter(([, inner]) => !isObject(inner));
  const nested = entries.filter(([, inner]) => isObject(inner));
  const parts = nested.map(([key, inner]) =>
    renderPart(`${name}.${key}`, inner),
  );
  if (figures.length > 0) {
    parts.unshift(renderPart(name, [Object.fromEntries(figures)]));
  }
  return parts.join('\n');
}

async function renderPlot(spec) {
  const view = new vega.View(vega.parse(compile(spec).spec), {
    renderer: 'none',
  });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

/** The day the result was committed; of the file itself while it is not. */
function dateOf(path) {
  const git = (...args) =>
    execFileSync('git', args, {cwd: root, encoding: 'utf8'}).trim();
  const isChanged = git('status', '--porcelain', '--', path) !== '';
  const committed = isChanged
    ? ''
    : git('log', '-1', '--format=%cs', '--', path);
  return committed || statSync(path).mtime.toISOString().slice(0, DATE_LENGTH);
}

async function renderReport(path) {
  const {measurement, seed, tookSeconds, ...result} = JSON.parse(
    readFileSync(path, 'utf8'),
  );
  const specs = plots[measurement]?.(result) ?? [];
  const drawn = await Promise.all(specs.map(renderPlot));
  const single = Object.entries(result).filter(([, value]) => !isObject(value));
  const tables = Object.entries(result).filter(([, value]) => isObject(value));
  return [
    `<h2 id="${escapeHtml(measurement)}">${escapeHtml(measurement)}</h2>`,
    `<p>Seed ${seed}, ${dateOf(path)}, took ${renderValue(tookSeconds)} s; ` +
      `data: <a href="${basename(path)}">${basename(path)}</a>.</p>`,
    ...drawn,
    ...(single.length > 0 ? [renderTable([Object.fromEntries(single)])] : []),
    ...tables.map(([name, value]) => renderPart(name, value)),
  ].join('\n');
}

const names = readdirSync(folder)
  .filter(name => name.endsWith('.json'))
  .sort();
const sections = [];
for (const name of names) {
  sections.push(await renderReport(join(folder, name)));
}
const contents = names
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
<p>Written by <code>tools/report.mjs</code> from the results beside this page. The machine was shared with
other work during the runs: times and processor figures of real processes vary with it; decisions on virtual
clocks depend on the seed alone.</p>
<p>${contents.join(' · ')}</p>
${sections.join('\n')}
</body>
</html>
`;
writeFileSync(join(folder, 'index.html'), page);
console.log(`docs/reports/index.html: ${names.join(', ')}`);
