/** Reads the load report of a plain service. */
import {checkShape, parseJson, ServingError} from '@skylarkfield/base';
import * as z from 'zod';
import type {LoadReport, ServiceReply} from './contracts.js';

const loadReport = z.object({
  sequence: z.number(),
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  waitingPromptTokens: z.number().default(0),
  cacheUse: z.number().default(0),
  attempts: z.array(z.string()).optional(),
});

/**
 * Checks a reply to a load question and returns the report.
 *
 * @example
 * const report = checkLoadReport(await service.call(loadQuestion, signal));
 */
export function checkLoadReport(reply: ServiceReply): LoadReport {
  if (reply.status !== 200) {
    throw new ServingError(
      'endpoint-failed',
      `the load report was answered with status ${reply.status}`,
    );
  }
  const text = new TextDecoder().decode(reply.body);
  const value = parseJson(text, 'endpoint-failed', 'load report');
  return checkShape(loadReport, value, 'endpoint-failed', 'load report');
}
