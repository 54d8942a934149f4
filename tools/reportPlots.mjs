/** What `report.mjs` draws: for each measurement, plots in vega-lite's terms. */

const WIDTH = 300;
const HEIGHT = 200;

/** Rows of a table whose keys are one column: `{a: {x: 1}}` becomes `[{policy: 'a', x: 1}]`. */
function keyed(table, column) {
  return Object.entries(table).map(([key, row]) => ({[column]: key, ...row}));
}

function mark(type, title, values, encoding) {
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v5.json',
    title,
    background: 'white',
    // Names of cases are long: cut off they cannot be told apart.
    config: {axis: {labelLimit: 0}, legend: {labelLimit: 0}},
    width: WIDTH,
    height: HEIGHT,
    data: {values},
    mark: type === 'line' ? {type, point: true} : {type},
    encoding,
  };
}

function axis(field, title, more = {}) {
  return {field, title, ...more};
}

/** Bars by the column `x`, side by side for each value of the column `by`. */
function bars(title, values, {x, y, by, unit}) {
  return mark('bar', title, values, {
    x: axis(x, x, {type: 'nominal', sort: null}),
    y: axis(y, unit ?? y, {type: 'quantitative'}),
    ...(by && {
      xOffset: {field: by, sort: null},
      color: axis(by, by, {type: 'nominal', sort: null}),
    }),
  });
}

/** One line for each value of the column `by`. */
function lines(title, values, {x, y, by, unit, scale = 'linear'}) {
  return mark('line', title, values, {
    x: axis(x, x, {type: 'quantitative', scale: {type: scale}}),
    y: axis(y, unit ?? y, {type: 'quantitative'}),
    color: axis(by, by, {type: 'nominal', sort: null}),
  });
}

const RECLAIM_CASES = ['notice5s', 'notice1500ms', 'crash', 'silence'];

function reclaimRows(report) {
  return RECLAIM_CASES.flatMap(name =>
    keyed(report[name], 'policy').map(row => ({case: name, ...row})),
  );
}

function routingRows({users}) {
  return Object.entries(users).flatMap(([user, {policies}]) =>
    keyed(policies, 'policy').map(row => ({user, ...row})),
  );
}

function orderRows({ledger, objectPerOrder}) {
  return Object.entries({ledger, objectPerOrder}).flatMap(([way, rows]) =>
    rows.map(row => ({way, ...row})),
  );
}

/** Without the sum over both users, whose mixes have rows of their own. */
function moveRows({summary}) {
  return summary.filter(row => row.mix !== 'both users');
}

/** Plots by measurement; one that is not named here has tables only. */
export const plots = {
  isolation: ({rows}) => [
    bars(
      'Requests of the other services answered in time',
      rows.map(row => ({...row, case: `${row.trouble}, ${row.service}`})),
      {x: 'case', y: 'success', by: 'gate', unit: 'share'},
    ),
  ],
  overload: ({rows}) => {
    const told = rows.filter(row => !row.isOverstated);
    return [
      lines('Goodput by load', told, {
        x: 'load',
        y: 'goodputPerSecond',
        by: 'gate',
        unit: 'requests a second',
      }),
      lines('Most important requests in time', told, {
        x: 'load',
        y: 'inTimeUrgency1',
        by: 'gate',
        unit: 'share',
      }),
    ];
  },
  routing: report => [
    bars('Tokens recomputed', routingRows(report), {
      x: 'policy',
      y: 'recomputedTokens',
      by: 'user',
      unit: 'tokens',
    }),
    bars('First token, 95th percentile', routingRows(report), {
      x: 'policy',
      y: 'firstTokenP95Ms',
      by: 'user',
      unit: 'ms',
    }),
  ],
  reclaim: report => [
    bars('Tokens recomputed', reclaimRows(report), {
      x: 'case',
      y: 'recomputedTokens',
      by: 'policy',
      unit: 'tokens',
    }),
    bars('Longest pause of a stream', reclaimRows(report), {
      x: 'case',
      y: 'pauseMaxMs',
      by: 'policy',
      unit: 'ms',
    }),
  ],
  orders: report => [
    lines('Writes to the platform', orderRows(report), {
      x: 'ordersPerSecond',
      y: 'writesPerSecond',
      by: 'way',
      unit: 'writes a second',
    }),
    lines('Added latency, 95th percentile', orderRows(report), {
      x: 'ordersPerSecond',
      y: 'addedP95Ms',
      by: 'way',
      unit: 'ms',
    }),
  ],
  moves: report => [
    bars('Good versions moved in on time', moveRows(report), {
      x: 'mix',
      y: 'goodMovedIn',
      by: 'judge',
      unit: 'share',
    }),
    bars('Bad versions taken back', moveRows(report), {
      x: 'mix',
      y: 'badTakenBack',
      by: 'judge',
      unit: 'share',
    }),
    bars('Requests served by a bad version, median', moveRows(report), {
      x: 'mix',
      y: 'badServedMedian',
      by: 'judge',
      unit: 'requests',
    }),
  ],
  spread: ({results}) => [
    lines('Until a configuration is in force, longest', results, {
      x: 'entries',
      y: 'inForceMaxMs',
      by: 'mode',
      unit: 'ms',
      scale: 'log',
    }),
    lines('Calls to the platform', results, {
      x: 'entries',
      y: 'platformCallsPerSecond',
      by: 'mode',
      unit: 'calls a second',
      scale: 'log',
    }),
  ],
  fleet: ({rows}) => [
    bars('Cost of a day', rows, {x: 'policy', y: 'costPerDay'}),
    bars('Time at the latency target', rows, {
      x: 'policy',
      y: 'targetHeld',
      unit: 'share',
    }),
  ],
  capacity: ({curves, plans}) => [
    lines(
      "Learned time of the usual prompt, relative to the engine's",
      curves,
      {
        x: 'second',
        y: 'ratio',
        by: 'profile',
      },
    ),
    bars('Engines planned for the same work', plans, {
      x: 'profile',
      y: 'engines',
      by: 'plan',
    }),
    bars('Served within the goal by that plan', plans, {
      x: 'profile',
      y: 'inTime',
      by: 'plan',
      unit: 'share',
    }),
  ],
  shedding: ({rows}) => [
    bars('Served within the goal at twice the capacity', rows, {
      x: 'profile',
      y: 'inTime',
      by: 'refusesLate',
      unit: 'share',
    }),
    bars('Without an answer until the deadline', rows, {
      x: 'profile',
      y: 'timedOut',
      by: 'refusesLate',
      unit: 'share',
    }),
  ],
  overhead: ({rows}) => [
    bars('Time of a request, 95th percentile', rows, {
      x: 'target',
      y: 'p95Ms',
      unit: 'ms',
    }),
  ],
  slopes: ({members}) => [
    lines('Bytes of membership per entry', members.map(withSeries), {
      x: 'entries',
      y: 'bytes',
      by: 'series',
      unit: 'bytes a second',
    }),
  ],
};

function withSeries(row) {
  return {series: 'membership', ...row};
}
