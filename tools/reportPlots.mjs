/** Vega-Lite specifications of the plots rendered by `report.mjs`. */

const WIDTH = 300;
const HEIGHT = 200;

/** Turns keys into a column `k`: `{a: {x: 1}}` becomes `[{k: 'a', x: 1}]`. */
function rowsWithKey(table, column) {
  return Object.entries(table).map(([key, row]) => ({[column]: key, ...row}));
}

function plotSpec(type, title, values, encoding) {
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v5.json',
    title,
    background: 'white',
    // No truncation: truncated long names of cases would look alike.
    config: {axis: {labelLimit: 0}, legend: {labelLimit: 0}},
    width: WIDTH,
    height: HEIGHT,
    data: {values},
    mark: type === 'line' ? {type, point: true} : {type},
    encoding,
  };
}

function channel(field, title, options = {}) {
  return {field, title, ...options};
}

/** Returns a bar chart over the column `x`, grouped by the column `groupBy`. */
function barChart(title, values, {x, y, groupBy, unit}) {
  return plotSpec('bar', title, values, {
    x: channel(x, x, {type: 'nominal', sort: null}),
    y: channel(y, unit ?? y, {type: 'quantitative'}),
    ...(groupBy && {
      xOffset: {field: groupBy, sort: null},
      color: channel(groupBy, groupBy, {type: 'nominal', sort: null}),
    }),
  });
}

/** Returns a line chart with a line for each value of the column `groupBy`. */
function lineChart(title, values, {x, y, groupBy, unit, scale = 'linear'}) {
  return plotSpec('line', title, values, {
    x: channel(x, x, {type: 'quantitative', scale: {type: scale}}),
    y: channel(y, unit ?? y, {type: 'quantitative'}),
    color: channel(groupBy, groupBy, {type: 'nominal', sort: null}),
  });
}

const RECLAIM_CASES = ['notice5s', 'notice1500ms', 'crash', 'silence'];

function reclaimRows(report) {
  return RECLAIM_CASES.flatMap(name =>
    rowsWithKey(report[name], 'policy').map(row => ({case: name, ...row})),
  );
}

function routingRows({users}) {
  return Object.entries(users).flatMap(([user, {policies}]) =>
    rowsWithKey(policies, 'policy').map(row => ({user, ...row})),
  );
}

function orderRows({ledger, objectPerOrder}) {
  return Object.entries({ledger, objectPerOrder}).flatMap(([way, rows]) =>
    rows.map(row => ({way, ...row})),
  );
}

/** Returns the rows of single mixes, without the sum over both users. */
function moveRows({summary}) {
  return summary.filter(row => row.mix !== 'both users');
}

/** Plots by measurement; a measurement without plots has only tables. */
export const plots = {
  isolation: ({rows}) => [
    barChart(
      'Requests of the other services answered in time',
      rows.map(row => ({...row, case: `${row.trouble}, ${row.service}`})),
      {x: 'case', y: 'success', groupBy: 'gate', unit: 'share'},
    ),
  ],
  overload: ({rows}) => {
    const accurateRows = rows.filter(row => !row.isOverstated);
    return [
      lineChart('Goodput by load', accurateRows, {
        x: 'load',
        y: 'goodputPerSecond',
        groupBy: 'gate',
        unit: 'requests a second',
      }),
      lineChart('Most urgent requests answered in time', accurateRows, {
        x: 'load',
        y: 'inTimeUrgency1',
        groupBy: 'gate',
        unit: 'share',
      }),
    ];
  },
  routing: report => [
    barChart('Tokens recomputed', routingRows(report), {
      x: 'policy',
      y: 'recomputedTokens',
      groupBy: 'user',
      unit: 'tokens',
    }),
    barChart('Time to first token, 95th percentile', routingRows(report), {
      x: 'policy',
      y: 'firstTokenP95Ms',
      groupBy: 'user',
      unit: 'ms',
    }),
  ],
  reclaim: report => [
    barChart('Tokens recomputed', reclaimRows(report), {
      x: 'case',
      y: 'recomputedTokens',
      groupBy: 'policy',
      unit: 'tokens',
    }),
    barChart('Longest pause of a stream', reclaimRows(report), {
      x: 'case',
      y: 'pauseMaxMs',
      groupBy: 'policy',
      unit: 'ms',
    }),
  ],
  orders: report => [
    lineChart('Writes to the platform', orderRows(report), {
      x: 'ordersPerSecond',
      y: 'writesPerSecond',
      groupBy: 'way',
      unit: 'writes a second',
    }),
    lineChart('Added latency, 95th percentile', orderRows(report), {
      x: 'ordersPerSecond',
      y: 'addedP95Ms',
      groupBy: 'way',
      unit: 'ms',
    }),
  ],
  moves: report => [
    barChart('Good versions rolled out in time', moveRows(report), {
      x: 'mix',
      y: 'goodMovedIn',
      groupBy: 'judge',
      unit: 'share',
    }),
    barChart('Bad versions rolled back', moveRows(report), {
      x: 'mix',
      y: 'badTakenBack',
      groupBy: 'judge',
      unit: 'share',
    }),
    barChart('Requests served by a bad version, median', moveRows(report), {
      x: 'mix',
      y: 'badServedMedian',
      groupBy: 'judge',
      unit: 'requests',
    }),
  ],
  spread: ({results}) => [
    lineChart('Longest time until a configuration is in force', results, {
      x: 'entries',
      y: 'inForceMaxMs',
      groupBy: 'mode',
      unit: 'ms',
      scale: 'log',
    }),
    lineChart('Calls to the platform', results, {
      x: 'entries',
      y: 'platformCallsPerSecond',
      groupBy: 'mode',
      unit: 'calls a second',
      scale: 'log',
    }),
  ],
  fleet: ({rows}) => [
    barChart('Cost of a day', rows, {x: 'policy', y: 'costPerDay'}),
    barChart('Time within the latency target', rows, {
      x: 'policy',
      y: 'targetHeld',
      unit: 'share',
    }),
  ],
  capacity: ({curves, plans}) => [
    lineChart(
      "Estimated time of the usual prompt, relative to the engine's",
      curves,
      {
        x: 'second',
        y: 'ratio',
        groupBy: 'profile',
      },
    ),
    barChart('Engines planned for the same load', plans, {
      x: 'profile',
      y: 'engines',
      groupBy: 'plan',
    }),
    barChart('Requests served within the goal by that plan', plans, {
      x: 'profile',
      y: 'inTime',
      groupBy: 'plan',
      unit: 'share',
    }),
  ],
  shedding: ({rows}) => [
    barChart('Requests served within the goal at twice the capacity', rows, {
      x: 'profile',
      y: 'inTime',
      groupBy: 'refusesLate',
      unit: 'share',
    }),
    barChart('Requests without an answer by the deadline', rows, {
      x: 'profile',
      y: 'timedOut',
      groupBy: 'refusesLate',
      unit: 'share',
    }),
  ],
  overhead: ({rows}) => [
    barChart('Request duration, 95th percentile', rows, {
      x: 'target',
      y: 'p95Ms',
      unit: 'ms',
    }),
  ],
  slopes: ({members}) => [
    lineChart('Bytes of membership per entry', members.map(withSeries), {
      x: 'entries',
      y: 'bytes',
      groupBy: 'series',
      unit: 'bytes a second',
    }),
  ],
};

/** Adds a constant column, as `lineChart` requires a column to group by. */
function withSeries(row) {
  return {series: 'membership', ...row};
}
