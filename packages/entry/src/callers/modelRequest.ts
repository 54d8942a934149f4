/** Request bodies of `POST /v1/chat/completions` and `POST /v1/completions`. */
import {validateShape, hash32, parseJson} from '@skylarkfield/base';
import * as z from 'zod';

const DEFAULT_MAX_TOKENS = 256;
const MAX_TOKENS_LIMIT = 32_768;

const sharedFields = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  max_tokens: z
    .number()
    .int()
    .min(1)
    .max(MAX_TOKENS_LIMIT)
    .default(DEFAULT_MAX_TOKENS),
  seed: z.number().int().optional(),
  user: z.string().max(255).optional(),
};

const chatSchema = z.object({
  ...sharedFields,
  messages: z
    .array(z.object({role: z.string().min(1), content: z.string()}))
    .min(1),
});

const completionSchema = z.object({...sharedFields, prompt: z.string().min(1)});

/** A model request, independent of the shape of its body. */
export interface ModelRequest {
  readonly service: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
  readonly seed: number;
  /** Key shared by the requests of one conversation. */
  readonly session: string;
}

/**
 * Parses a chat request. Throws `bad-request` with all faults.
 *
 * @example
 * const request = parseChatRequest(bodyText, headers['x-session-id']);
 */
export function parseChatRequest(
  text: string,
  session: string | undefined,
): ModelRequest {
  const body = validateShape(
    chatSchema,
    parseJson(text, 'bad-request', 'body'),
    'bad-request',
    'body',
  );
  const lines = body.messages.map(
    message => `${message.role}: ${message.content}`,
  );
  const openingText = lines[0] ?? '';
  return toModelRequest(body, lines.join('\n'), session, openingText);
}

/**
 * Parses a completion request. Throws `bad-request` with all faults.
 *
 * @example
 * const request = parseCompletionRequest(bodyText, undefined);
 */
export function parseCompletionRequest(
  text: string,
  session: string | undefined,
): ModelRequest {
  const body = validateShape(
    completionSchema,
    parseJson(text, 'bad-request', 'body'),
    'bad-request',
    'body',
  );
  return toModelRequest(body, body.prompt, session, body.prompt);
}

interface SharedBody {
  readonly model: string;
  readonly stream: boolean;
  readonly max_tokens: number;
  readonly seed?: number | undefined;
  readonly user?: string | undefined;
}

function toModelRequest(
  body: SharedBody,
  prompt: string,
  session: string | undefined,
  openingText: string,
): ModelRequest {
  return {
    service: body.model,
    prompt,
    maxTokens: body.max_tokens,
    isStream: body.stream,
    // A fixed seed keeps sampling consistent across attempts of one response.
    seed: body.seed ?? hash32(prompt),
    session: session ?? body.user ?? `opening-${hash32(openingText)}`,
  };
}
