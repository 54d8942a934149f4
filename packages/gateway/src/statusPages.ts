/** Metrics, state dump and decision log for operators. */
import type {DecisionLog, Dumps} from '@skylarkfield/base';
import type {RequestHandler} from './listeners.js';
import type {RequestMetrics} from './requestMetrics.js';

interface StatusParts {
  readonly metrics: RequestMetrics;
  readonly dumps: Dumps;
  readonly decisions: DecisionLog;
}

interface Page {
  readonly type: string;
  text(): string | Promise<string>;
}

/**
 * Creates the handler of the status port.
 *
 * @example
 * const port = await openPort(settings.status, createStatusHandler(parts));
 */
export function createStatusHandler(parts: StatusParts): RequestHandler {
  const pages: Readonly<Record<string, Page>> = {
    '/metrics': {
      type: 'text/plain; version=0.0.4',
      text: () => parts.metrics.render(),
    },
    '/dump': json(() => parts.dumps.collect()),
    '/decisions': json(() => parts.decisions.list()),
  };
  return (request, response) => {
    const page = pages[request.url ?? ''];
    if (page === undefined) {
      response.statusCode = 404;
      response.end();
      return;
    }
    Promise.resolve(page.text()).then(
      text => {
        response.setHeader('content-type', page.type);
        response.end(text);
      },
      error => {
        response.statusCode = 500;
        response.end(String(error));
      },
    );
  };
}

function json(value: () => unknown): Page {
  return {
    type: 'application/json',
    text: () => JSON.stringify(value(), null, 2),
  };
}
