/**
 * Header with which the entry that runs a handed-over request tells the other
 * entry which endpoints leave. The response that the other entry passes on may
 * announce a departure, and a digest may arrive too late.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {DepartureReport} from '@skylarkfield/routing';
import type {ResponseHeaders} from '../contracts.js';

const HEADER_NAME = 'endpoint-departures';

/**
 * Request header of entries that take the departures out of the response; those
 * of earlier releases would pass them on.
 */
const ACCEPT_HEADER = 'accept-departures';

/** Header to send with a request that is handed over. */
export const ACCEPT_DEPARTURES = {[ACCEPT_HEADER]: '1'} as const;

/**
 * Whether the entry that sent a request takes departures.
 *
 * @example
 * const report = acceptsDepartures(request.headers) ? departures.report() : {};
 */
export function acceptsDepartures(headers: IncomingHttpHeaders): boolean {
  return headers[ACCEPT_HEADER] !== undefined;
}

/**
 * Returns the header, or none if there are no departures.
 *
 * @example
 * response.writeHead(200, {...headers, ...encodeDepartures({'i-1@7': 120})});
 */
export function encodeDepartures(
  report: DepartureReport,
): Record<string, string> {
  return Object.keys(report).length === 0
    ? {}
    : {[HEADER_NAME]: encodeURIComponent(JSON.stringify(report))};
}

/**
 * Returns the departures that a header tells; none if it is absent or invalid.
 *
 * @example
 * departures.mergeReport(decodeDepartures(headers));
 */
export function decodeDepartures(headers: ResponseHeaders): DepartureReport {
  const text = headers[HEADER_NAME];
  if (typeof text !== 'string') {
    return {};
  }
  try {
    const report: unknown = JSON.parse(decodeURIComponent(text));
    return Object.fromEntries(
      Object.entries(Object(report) as object).filter(
        (entry): entry is [string, number] => Number.isFinite(entry[1]),
      ),
    );
  } catch {
    // Sent by an incompatible release: digests tell the same.
    return {};
  }
}

/**
 * Returns the headers without the departures, which are not for callers.
 *
 * @example
 * reply.sendResponse({...response, headers: withoutDepartures(headers)});
 */
export function withoutDepartures(headers: ResponseHeaders): ResponseHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => name !== HEADER_NAME),
  );
}
