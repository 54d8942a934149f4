/**
 * Stand-in for a model replica, a process of its own. It runs one stream of events
 * for each request, and moves the memory of a run to another replica as the pages
 * tell. Tells its parent process what it runs and moves, and from whose memory.
 *
 * Its parent may tell it to be faulty for a while: it then sends a second copy of
 * some of its answers, at the point where the next response is expected.
 *
 * Usage: engine.mjs ID TOKENS_PER_EVENT EVENT_MS COPY_MS SLOTS
 */
import http from 'node:http';

const [id, tokensPerEvent, eventMs, copyMs, slots] = process.argv
  .slice(2)
  .map((word, index) => (index === 0 ? word : Number(word)));

/** Path at which replicas copy memory to each other; not seen by gateways. */
const COPY_PATH = '/standin/copy';
const HANDLE_PATH = '/skylarkfield/kv-handle/';

/** Connections to other replicas, for copies. */
const copies = new http.Agent({keepAlive: true});

/** Runs in progress, by the id of the request. */
const runs = new Map();
/** Requests whose memory was copied here, by handle; each is used once. */
const handles = new Map();
/** Replicas that hold copies of this one's runs, by handle. */
const targets = new Map();
let handleCount = 0;
/** Interval of the answers that are sent twice; 0 if none is. */
let doubledInterval = 0;
/** Answers until the next one that is sent twice. */
let answersLeft = 0;
/** Second answers that are still to be sent, by connection. */
const secondAnswers = new WeakMap();

function tell(type, fields) {
  process.send({type, replica: id, ...fields});
}

function sleep(durationMs) {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/** Whether the next answer is one that is sent twice. */
function isNextDoubled() {
  answersLeft -= 1;
  if (doubledInterval === 0 || answersLeft > 0) {
    return false;
  }
  answersLeft = doubledInterval;
  return true;
}

function answer(response, status, body, headers = {}) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': String(text.length),
    ...headers,
  });
  response.end(text);
  if (isNextDoubled()) {
    // The text of the head is that which was sent.
    secondAnswers.set(response.req.socket, `${response._header}${text}`);
    tell('doubled', {url: response.req.url, body: text});
  }
}

/**
 * Copies memory to another replica, or frees the copy there; resolves to whether
 * that is done.
 */
function copyTo(target, copy) {
  return new Promise(resolve => {
    const request = http.request(
      `http://${target}${COPY_PATH}`,
      {method: 'POST', agent: copies},
      response => {
        response.resume();
        response.once('end', () => resolve(response.statusCode === 200));
        response.once('error', () => resolve(false));
      },
    );
    request.on('error', () => resolve(false));
    request.end(JSON.stringify(copy));
  });
}

/** Moves wait for each other on the link of this replica. */
let lastMove = Promise.resolve();

async function move(request, response) {
  const {
    Id: attemptId,
    Target: target,
    Last: isLast,
  } = JSON.parse(await readBody(request));
  const run = runs.get(attemptId);
  if (run === undefined) {
    answer(response, 404, {});
    return;
  }
  if (isLast) {
    // The run stops first, and its stream is closed without its end.
    run.isStopped = true;
    runs.delete(attemptId);
    run.response.socket?.end();
    tell('stopped', {attemptId, events: run.events});
  }
  run.handle ??= `${id}-${(handleCount += 1)}`;
  const moved = lastMove.then(() => sleep(copyMs));
  lastMove = moved;
  await moved;
  targets.set(run.handle, target);
  const copy = {handle: run.handle, owner: attemptId};
  const hasArrived = await copyTo(target, copy);
  tell(hasArrived ? 'copied' : 'not-copied', {
    attemptId,
    target,
    handle: run.handle,
    isLast: isLast === true,
  });
  answer(response, hasArrived ? 200 : 503, {
    Handle: run.handle,
    CreateRev: run.events,
  });
}

/** Sends events until the end of the run, or until it is stopped or left. */
async function stream(attemptId, memoryOf, response, firstEvent, eventCount) {
  const run = {response, events: firstEvent - 1, isStopped: false};
  runs.set(attemptId, run);
  response.on('close', () => (run.isStopped = true));
  // Those of streams that would be sent twice are not: they end too late.
  isNextDoubled();
  response.writeHead(200, {'Content-Type': 'text/event-stream'});
  for (let event = firstEvent; event <= eventCount; event += 1) {
    await sleep(eventMs);
    if (run.isStopped) {
      return;
    }
    run.events = event;
    response.write(
      `id: ${event}\ndata: ${id} makes piece ${event} from the memory of ${memoryOf}\n\n`,
    );
  }
  runs.delete(attemptId);
  response.end();
  tell('completed', {attemptId});
}

async function serve(request, response) {
  const {headers, url, socket} = request;
  const secondAnswer = secondAnswers.get(socket);
  if (secondAnswer !== undefined) {
    secondAnswers.delete(socket);
    socket.write(secondAnswer);
    tell('sent-second', {url});
  }
  response.setHeader(
    'X-Replica-Load',
    `${runs.size + handles.size},0,${slots}`,
  );
  const attemptId = headers['x-try-id'];
  if (attemptId !== undefined) {
    response.setHeader('X-Try-Id', attemptId);
  }
  if (url === COPY_PATH) {
    const {handle: copied, owner} = JSON.parse(await readBody(request));
    if (owner === undefined) {
      handles.delete(copied);
      response.writeHead(200).end();
      return;
    }
    // A copy occupies a slot from its first part until it is used.
    const hasRoom = handles.has(copied) || runs.size + handles.size < slots;
    if (hasRoom) {
      handles.set(copied, owner);
    }
    response.writeHead(hasRoom ? 200 : 503).end();
    return;
  }
  if (url === '/skylarkfield/kv-move') {
    await move(request, response);
    return;
  }
  if (request.method === 'DELETE' && url.startsWith(HANDLE_PATH)) {
    const freed = decodeURIComponent(url.slice(HANDLE_PATH.length));
    if (targets.has(freed)) {
      await copyTo(targets.get(freed), {handle: freed});
    }
    answer(response, 200, {});
    return;
  }
  if (url === '/healthz') {
    answer(response, 200, {}, {'X-Replica-Id': id});
    return;
  }
  await readBody(request);
  const expected = headers['x-expect-replica'];
  if (expected !== undefined && expected !== id) {
    answer(response, 421, {}, {'X-Not-Run': '1'});
    return;
  }
  if (attemptId === undefined) {
    answer(response, 400, {}, {'X-Not-Run': '1'});
    return;
  }
  const source = headers['kv-from'];
  const handle = source?.split('/')[1];
  const memoryOf = handles.get(handle);
  const isRefused =
    source === undefined
      ? runs.size + handles.size >= slots
      : !handles.delete(handle);
  if (isRefused) {
    answer(response, 503, {}, {'X-Not-Run': '1'});
    return;
  }
  const lastEventId = headers['last-event-id'];
  tell(source === undefined ? 'run' : 'goes-on', {
    attemptId,
    source,
    memoryOf,
    lastEventId,
  });
  response.setHeader('X-Reply-Seal', `seal.${id}.${attemptId}`);
  const outputTokens = Number(headers['x-token-counts'].split(',')[1]);
  await stream(
    attemptId,
    memoryOf ?? attemptId,
    response,
    Number(lastEventId ?? 0) + 1,
    outputTokens / tokensPerEvent,
  );
}

const server = http.createServer((request, response) => {
  serve(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 5_000;
server.listen(0, '127.0.0.1', () =>
  tell('listening', {address: `127.0.0.1:${server.address().port}`}),
);
process.on('message', ({interval, first}) => {
  doubledInterval = interval;
  answersLeft = first;
});
// The parent has ended.
process.on('disconnect', () => process.exit());
