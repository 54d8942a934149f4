import {Args, Command, Flags} from '@oclif/core';
import {ServingError} from '@skylarkfield/base';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {callerFlags} from '../callerFlags.js';
import {readBody, requestJson} from '../input.js';
import {printJson, printLine} from '../output.js';

interface ChatChunk {
  readonly choices?: readonly {readonly delta?: {readonly content?: string}}[];
  readonly usage?: unknown;
}

/** Maximum size of one server-sent event, in characters. */
const MAX_EVENT_CHARACTERS = 64 * 1024;

export class SendChatCommand extends Command {
  static override description =
    'Send one chat request to a model service and print the streamed answer.';
  static override examples = [
    'skylarkfield send chat "match this oak floor" --entry http://127.0.0.1:8001 --service stain-match --key CUSTOMER-KEY',
  ];
  static override args = {
    text: Args.string({required: true, description: 'user message'}),
  };
  static override flags = {
    ...callerFlags,
    service: Flags.string({
      required: true,
      description: 'name of the model service',
    }),
    'max-tokens': Flags.integer({
      default: 64,
      min: 1,
      description: 'maximum number of generated tokens',
    }),
    session: Flags.string({
      description:
        'session id, so that requests reach the cached conversation history',
    }),
    json: Flags.boolean({
      description: 'print the complete answer as JSON',
    }),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(SendChatCommand);
    const url = new URL('/v1/chat/completions', flags.entry).href;
    const headers = {
      'content-type': 'application/json',
      ...(flags.session === undefined ? {} : {'x-session-id': flags.session}),
    };
    const body = JSON.stringify({
      model: flags.service,
      max_tokens: flags['max-tokens'],
      stream: !flags.json,
      messages: [{role: 'user', content: args.text}],
    });
    if (flags.json) {
      printJson(
        await requestJson(url, {key: flags.key, method: 'POST', headers, body}),
      );
      return;
    }
    await printStream(
      url,
      {...headers, authorization: `Bearer ${flags.key}`},
      body,
    );
  }
}

async function printStream(
  url: string,
  headers: Record<string, string>,
  body: string,
): Promise<void> {
  const response = await openStream(url, headers, body);
  if (response.statusCode !== 200) {
    const text = await readBody(response.body);
    throw new ServingError('endpoint-failed', text);
  }
  let hasDoneEvent = false;
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onError({type, message}) {
      if (type === 'max-buffer-size-exceeded') {
        throw new ServingError('protocol-violation', message);
      }
    },
    onEvent(event) {
      if (event.event === 'error') {
        throw new ServingError('interrupted', event.data);
      }
      if (event.data === '[DONE]') {
        hasDoneEvent = true;
        return;
      }
      printChunk(JSON.parse(event.data) as ChatChunk);
    },
  });
  for await (const chunk of response.body) {
    parser.feed(Buffer.from(chunk as Uint8Array).toString('utf8'));
  }
  if (!hasDoneEvent) {
    throw new ServingError(
      'interrupted',
      'the answer stream ended without a [DONE] event',
    );
  }
}

async function openStream(
  url: string,
  headers: Record<string, string>,
  body: string,
) {
  try {
    return await request(url, {method: 'POST', headers, body});
  } catch (error) {
    throw new ServingError(
      'endpoint-unavailable',
      `no answer from the entry: ${String(error)}`,
    );
  }
}

function printChunk(chunk: ChatChunk): void {
  const text = chunk.choices?.[0]?.delta?.content ?? '';
  process.stdout.write(text);
  if (chunk.usage !== undefined) {
    printLine(`\n${JSON.stringify(chunk.usage)}`);
  }
}
