/**
 * Pages of the status port: metrics, state dump and decision log for operators.
 */
import type {DecisionLog, DumpRegistry} from '@skylarkfield/base';
import type {RequestHandler} from './listeners.js';
import type {RequestMetrics} from '../callers/requestMetrics.js';

interface StatusSources {
  readonly metrics: RequestMetrics;
  readonly dumps: DumpRegistry;
  readonly decisions: DecisionLog;
}

interface Page {
  readonly type: string;
  render(): string | Promise<string>;
}

/**
 * Creates the handler of the status port.
 *
 * @example
 * const port = await openPort(settings.status, createStatusHandler(sources));
 */
export function createStatusHandler(sources: StatusSources): RequestHandler {
  const pages: Readonly<Record<string, Page>> = {
    '/metrics': {
      type: 'text/plain; version=0.0.4',
      render: () => sources.metrics.render(),
    },
    '/dump': createJsonPage(() => sources.dumps.collect()),
    '/decisions': createJsonPage(() => sources.decisions.list()),
  };
  return (request, response) => {
    const page = pages[request.url ?? ''];
    if (page === undefined) {
      response.statusCode = 404;
      response.end();
      return;
    }
    Promise.resolve(page.render()).then(
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

function createJsonPage(getValue: () => unknown): Page {
  return {
    type: 'application/json',
    render: () => JSON.stringify(getValue(), null, 2),
  };
}
