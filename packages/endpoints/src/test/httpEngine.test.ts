import assert from 'node:assert/strict';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createHttpEngine, type HttpEngine} from '../index.js';

const PIECE_GAP_MS = 30;

const request = {
  attempt: 'a1',
  prompt: 'p',
  maxTokens: 4,
  urgency: 2,
  delivered: [],
  seed: 1,
};

const token = {type: 'token', attempt: 'a1', index: 0, text: 'oak'};

async function withServer(
  answer: (response: ServerResponse) => void,
  use: (engine: HttpEngine, requests: () => number) => Promise<void>,
) {
  let requests = 0;
  const server = createServer((incoming, response) => {
    requests += 1;
    incoming.resume();
    incoming.once('end', () => answer(response));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const engine = createHttpEngine({
    url: `http://127.0.0.1:${port}`,
    callTimeoutMs: 300,
  });
  try {
    await use(engine, () => requests);
  } finally {
    engine.dispose();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  }
}

async function read(engine: HttpEngine, signal = new AbortController().signal) {
  const events = [];
  for await (const event of engine.generate(request, signal)) {
    events.push(event);
  }
  return events;
}

function sendEvents(response: ServerResponse, ...events: unknown[]) {
  response.writeHead(200, {'content-type': 'text/event-stream'});
  events.forEach(event => response.write(`data: ${JSON.stringify(event)}\n\n`));
}

describe('HTTP engine', () => {
  it('reads events that arrive in pieces', async () => {
    const text = `data: ${JSON.stringify({...token, text: 'öl'})}\n\n`;
    const bytes = Buffer.from(text);
    const cut = bytes.indexOf(0xc3) + 1;
    await withServer(
      response => {
        response.writeHead(200);
        response.write(bytes.subarray(0, cut));
        // Long enough that both pieces hardly ever come as one; if they do,
        // the test still passes.
        setTimeout(() => response.end(bytes.subarray(cut)), PIECE_GAP_MS);
      },
      async engine => {
        assert.deepEqual(await read(engine), [{...token, text: 'öl'}]);
      },
    );
  });

  // An engine of another release, or a broken one, sends what is none of the
  // known events. Taken at its word it could show a caller garbage.
  const malformed: [string, unknown][] = [
    ['an unknown type', {type: 'note', attempt: 'a1'}],
    ['a type named like an object method', {type: 'toString', attempt: 'a1'}],
    ['no attempt', {...token, attempt: undefined}],
    ['a negative position', {...token, index: -1}],
    ['a text that is none', {...token, text: 7}],
    ['an end without counts', {type: 'end', attempt: 'a1', reason: 'stop'}],
    ['null', null],
  ];
  for (const [name, event] of malformed) {
    it(`refuses an event with ${name}`, async () => {
      await withServer(
        response => {
          sendEvents(response, event);
          response.end();
        },
        async engine => {
          await assert.rejects(read(engine), {kind: 'protocol-violation'});
        },
      );
    });
  }

  const refusals: [number, string, string][] = [
    [429, '{"kind":"overloaded","title":"full"}', 'overloaded'],
    [409, '{"kind":"fenced","title":"old"}', 'fenced'],
    [500, 'oops', 'endpoint-failed'],
    [400, '{"kind":"unauthenticated","title":"x"}', 'endpoint-failed'],
  ];
  for (const [status, body, kind] of refusals) {
    it(`turns status ${status} with ${body} into ${kind}`, async () => {
      await withServer(
        response => response.writeHead(status).end(body),
        async engine => {
          await assert.rejects(read(engine), {kind});
        },
      );
    });
  }

  // The connection breaks after the request went out. The engine may have
  // worked on it, and a client that sends it again by itself would double it.
  it('neither repeats a broken request nor calls it not run', async () => {
    await withServer(
      response => response.destroy(),
      async (engine, requests) => {
        await assert.rejects(read(engine), {
          kind: 'interrupted',
          run: 'may-have-run',
        });
        assert.equal(requests(), 1);
      },
    );
  });

  it('gives up a call that is not answered', async () => {
    await withServer(
      () => {},
      async engine => {
        await assert.rejects(engine.load(), {kind: 'interrupted'});
      },
    );
  });

  it('refuses a load report that lacks its counts', async () => {
    await withServer(
      response => response.end('{"sequence":1}'),
      async engine => {
        await assert.rejects(engine.load(), {kind: 'protocol-violation'});
      },
    );
  });

  it('ends with cancelled when the caller aborts', async () => {
    await withServer(
      response => sendEvents(response, token),
      async engine => {
        const stop = new AbortController();
        const events = engine.generate(request, stop.signal);
        const iterator = events[Symbol.asyncIterator]();
        await iterator.next();
        stop.abort();
        await assert.rejects(iterator.next(), {kind: 'cancelled'});
      },
    );
  });
});
