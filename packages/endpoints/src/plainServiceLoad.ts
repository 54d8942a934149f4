/** Parsing of the load report of a plain service. */
import {validateShape, parseJson, ServingError} from '@skylarkfield/base';
import * as z from 'zod';
import type {LoadReport, ServiceResponse} from './contracts.js';

const loadReportSchema = z.object({
  sequence: z.number(),
  running: z.number(),
  waiting: z.number(),
  slots: z.number(),
  waitingPromptTokens: z.number().default(0),
  cacheUse: z.number().default(0),
  attempts: z.array(z.string()).optional(),
});

/**
 * Parses and validates the response to a load request.
 *
 * @example
 * const report = parseLoadReport(await service.call(loadRequest, signal));
 */
export function parseLoadReport(response: ServiceResponse): LoadReport {
  if (response.status !== 200) {
    throw new ServingError(
      'endpoint-failed',
      `the load request returned status ${response.status}`,
    );
  }
  const text = new TextDecoder().decode(response.body);
  const value = parseJson(text, 'endpoint-failed', 'load report');
  return validateShape(
    loadReportSchema,
    value,
    'endpoint-failed',
    'load report',
  );
}
