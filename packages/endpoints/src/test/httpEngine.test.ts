import assert from 'node:assert/strict';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createHttpEngine, type HttpEngine} from '../index.js';

const CHUNK_GAP_MS = 30;

const generationRequest = {
  attempt: 'a1',
  prompt: 'p',
  maxTokens: 4,
  urgency: 2,
  delivered: [],
  seed: 1,
};

const tokenEvent = {type: 'token', attempt: 'a1', index: 0, text: 'oak'};

async function withServer(
  respond: (response: ServerResponse) => void,
  run: (engine: HttpEngine, getRequestCount: () => number) => Promise<void>,
) {
  let requestCount = 0;
  const server = createServer((incoming, response) => {
    requestCount += 1;
    incoming.resume();
    incoming.once('end', () => respond(response));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const engine = createHttpEngine({
    url: `http://127.0.0.1:${port}`,
    callTimeoutMs: 300,
  });
  try {
    await run(engine, () => requestCount);
  } finally {
    engine.dispose();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  }
}

async function readAllEvents(
  engine: HttpEngine,
  signal = new AbortController().signal,
) {
  const events = [];
  for await (const event of engine.generate(generationRequest, signal)) {
    events.push(event);
  }
  return events;
}

function sendEvents(response: ServerResponse, ...events: unknown[]) {
  response.writeHead(200, {'content-type': 'text/event-stream'});
  events.forEach(event => response.write(`data: ${JSON.stringify(event)}\n\n`));
}

describe('HTTP engine', {timeout: 30_000}, () => {
  it('reads events that are split across chunks', async () => {
    const text = `data: ${JSON.stringify({...tokenEvent, text: 'öl'})}\n\n`;
    const bytes = Buffer.from(text);
    const splitIndex = bytes.indexOf(0xc3) + 1;
    await withServer(
      response => {
        response.writeHead(200);
        response.write(bytes.subarray(0, splitIndex));
        // Long enough that the chunks are rarely merged; the test also passes
        // if they are merged.
        setTimeout(
          () => response.end(bytes.subarray(splitIndex)),
          CHUNK_GAP_MS,
        );
      },
      async engine => {
        assert.deepEqual(await readAllEvents(engine), [
          {...tokenEvent, text: 'öl'},
        ]);
      },
    );
  });

  // An engine of another release, or a faulty one, sends unknown or invalid
  // events. Accepting them could deliver wrong text to a caller.
  const malformedEvents: [string, unknown][] = [
    ['an unknown type', {type: 'note', attempt: 'a1'}],
    ['a type named like an object method', {type: 'toString', attempt: 'a1'}],
    ['no attempt', {...tokenEvent, attempt: undefined}],
    ['a negative index', {...tokenEvent, index: -1}],
    ['a text that is not a string', {...tokenEvent, text: 7}],
    ['an end without counts', {type: 'end', attempt: 'a1', reason: 'stop'}],
    ['null', null],
  ];
  for (const [name, event] of malformedEvents) {
    it(`rejects an event with ${name}`, async () => {
      await withServer(
        response => {
          sendEvents(response, event);
          response.end();
        },
        async engine => {
          await assert.rejects(readAllEvents(engine), {
            kind: 'protocol-violation',
          });
        },
      );
    });
  }

  const errorResponses: [number, string, string][] = [
    [429, '{"kind":"overloaded","title":"full"}', 'overloaded'],
    [409, '{"kind":"fenced","title":"old"}', 'fenced'],
    [500, 'oops', 'endpoint-failed'],
    [400, '{"kind":"unauthenticated","title":"x"}', 'endpoint-failed'],
  ];
  for (const [status, body, kind] of errorResponses) {
    it(`converts status ${status} with ${body} to ${kind}`, async () => {
      await withServer(
        response => response.writeHead(status).end(body),
        async engine => {
          await assert.rejects(readAllEvents(engine), {kind});
        },
      );
    });
  }

  // The connection is lost after the request was sent. The engine may have
  // processed the request, so a retry by the client could run it twice.
  it('neither retries an interrupted request nor reports it as not run', async () => {
    await withServer(
      response => response.destroy(),
      async (engine, getRequestCount) => {
        await assert.rejects(readAllEvents(engine), {
          kind: 'interrupted',
          run: 'may-have-run',
        });
        assert.equal(getRequestCount(), 1);
      },
    );
  });

  it('fails a call that gets no response', async () => {
    await withServer(
      () => {},
      async engine => {
        await assert.rejects(engine.load(), {kind: 'interrupted'});
      },
    );
  });

  // Guards against a poll of an endpoint that never ends, since each interim head starts the timeout again.
  it('fails a call that gets only interim heads', async () => {
    let timer: NodeJS.Timeout | undefined;
    await withServer(
      response => {
        timer = setInterval(() => response.writeProcessing(), CHUNK_GAP_MS);
      },
      async engine => {
        await assert.rejects(engine.load(), {kind: 'interrupted'});
      },
    ).finally(() => clearInterval(timer));
  });

  it('rejects a load report without its counts', async () => {
    await withServer(
      response => response.end('{"sequence":1}'),
      async engine => {
        await assert.rejects(engine.load(), {kind: 'protocol-violation'});
      },
    );
  });

  it('fails with cancelled when the caller aborts', async () => {
    await withServer(
      response => sendEvents(response, tokenEvent),
      async engine => {
        const controller = new AbortController();
        const events = engine.generate(generationRequest, controller.signal);
        const iterator = events[Symbol.asyncIterator]();
        await iterator.next();
        controller.abort();
        await assert.rejects(iterator.next(), {kind: 'cancelled'});
      },
    );
  });
});
