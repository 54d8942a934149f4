import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {createHttpEngine, createHttpPlainService} from '../index.js';

const HEAD_END = '\r\n\r\n';
const START = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n';

const HEADS: readonly string[] = [
  `${START}Content-Length: 0${HEAD_END}`,
  `${START}Transfer-Encoding: chunked${HEAD_END}`,
  `${START}Connection: close${HEAD_END}`,
];

const GENERATION_REQUEST = {
  attempt: 'a1',
  prompt: 'p',
  maxTokens: 4,
  urgency: 2,
  delivered: [],
  seed: 1,
};

const CALL = {
  method: 'POST',
  path: '/bookings',
  headers: {},
  body: new Uint8Array(),
};

const {signal} = new AbortController();

const STATUSES = ['000', '099', '100', '101', '600', '999', '20', '2000', ''];

/** Bodies of an answer, a rejection before the run, and a load report. */
const BODIES: readonly string[] = [
  '',
  'data: {"type":"end"}\n\n',
  '{"kind":"overloaded","title":"full"}',
  '{"sequence":1,"running":0,"waiting":0,"slots":8}',
];

/** Requests of each client; they resolve if a response counts as complete. */
const requests: Readonly<Record<string, (url: string) => Promise<void>>> = {
  async 'plain service'(url) {
    const service = createHttpPlainService({url});
    try {
      await service.call(CALL, signal);
    } finally {
      service.dispose();
    }
  },
  async engine(url) {
    const engine = createHttpEngine({url});
    try {
      for await (const event of engine.generate(GENERATION_REQUEST, signal)) {
        assert.fail(`received ${event.type}`);
      }
    } finally {
      engine.dispose();
    }
  },
  async 'engine that is sent a command'(url) {
    const engine = createHttpEngine({url});
    try {
      await engine.cancel('a1');
    } finally {
      engine.dispose();
    }
  },
};

describe('responses to endpoint clients with a damaged head', () => {
  let sentBytes = '';
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(sentBytes));
  });
  let url: string;

  before(async () => {
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });
  after(() => server.close());

  for (const [client, request] of Object.entries(requests)) {
    // Guards against a cut-off head that is taken for that of an empty response.
    it(`fail for the ${client} if they end within it`, async () => {
      for (const head of HEADS) {
        for (let length = 0; length < head.length; length++) {
          sentBytes = head.slice(0, length);
          await assert.rejects(
            request(url),
            {run: 'may-have-run'},
            JSON.stringify(sentBytes),
          );
        }
      }
    });

    // Guards against a response of an endpoint in trouble, like one with status 600, that counts as an answer or as a promise.
    it(`fail for the ${client} if their status is none of HTTP`, async () => {
      for (const status of STATUSES) {
        for (const body of BODIES) {
          sentBytes = `HTTP/1.1 ${status} OK\r\nContent-Length: ${body.length}${HEAD_END}${body}`;
          await assert.rejects(
            request(url),
            {run: 'may-have-run'},
            JSON.stringify(sentBytes),
          );
        }
      }
    });
  }
});
