/** HTTP and HTTPS servers by settings, with renewed certificates picked up while running. */
import {readFileSync, statSync} from 'node:fs';
import http from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import {
  disposableStore,
  every,
  ServingError,
  toDisposable,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {EntrySettings, ListenerSettings} from './settings.js';

/** How often certificate files are looked at, in milliseconds. */
const RELOAD_INTERVAL_MS = 5_000;

export type HttpServer = http.Server | https.Server;

export interface Listener extends Disposable {
  /**
   * Takes no more connections and closes each one that has no request; what is
   * left after the given time in milliseconds is for `dispose` to cut.
   */
  close(timeoutMs: number): Promise<void>;
  readonly server: HttpServer;
  readonly port: number;
  readonly scheme: 'http' | 'https';
}

/**
 * Makes a server with the limits of the settings; the caller adds handlers and
 * then opens it with `openListener`.
 *
 * @example
 * const server = createServer(settings.admin, settings.limits);
 */
export function createServer(
  settings: ListenerSettings,
  limits: EntrySettings['limits'],
): HttpServer {
  const options = {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerMs,
    requestTimeout: limits.requestMs,
    // Node looks for late senders only this often; its default of 30 s would
    // let a slow sender hold a connection far beyond the limits above.
    connectionsCheckingInterval: Math.min(limits.headerMs, 1_000),
  };
  const server =
    settings.tls === undefined
      ? http.createServer(options)
      : https.createServer({...options, ...readTls(settings.tls)});
  server.maxConnections = limits.connections;
  return server;
}

/**
 * Binds a server and keeps its certificate fresh until disposed.
 * Throws `bad-settings` when the address can't be bound.
 *
 * @example
 * const listener = await openListener(server, settings.callers, clock, log);
 */
export async function openListener(
  server: HttpServer,
  settings: ListenerSettings,
  clock: Clock,
  log: Logger,
): Promise<Listener> {
  await bind(server, settings);
  const store = disposableStore();
  store.add(toDisposable(() => closeNow(server)));
  if (settings.tls !== undefined) {
    store.add(reloadRenewed(server as https.Server, settings.tls, clock, log));
  }
  return {
    server,
    port: (server.address() as AddressInfo).port,
    scheme: settings.tls === undefined ? 'http' : 'https',
    close: timeoutMs => closeGracefully(server, timeoutMs, clock),
    dispose: () => store.dispose(),
  };
}

function bind(server: HttpServer, settings: ListenerSettings): Promise<void> {
  return new Promise((resolve, reject) => {
    function onError(error: Error) {
      const where = `${settings.host}:${settings.port}`;
      reject(
        new ServingError(
          'bad-settings',
          `cannot listen on ${where}: ${error.message}`,
        ),
      );
    }
    server.once('error', onError);
    server.listen(settings.port, settings.host, () => {
      server.off('error', onError);
      resolve();
    });
  });
}

function closeGracefully(
  server: HttpServer,
  timeoutMs: number,
  clock: Clock,
): Promise<void> {
  return new Promise(resolve => {
    const timer = clock.after(timeoutMs, resolve);
    server.close(() => {
      timer.dispose();
      resolve();
    });
    server.closeIdleConnections();
  });
}

function closeNow(server: HttpServer): void {
  server.close();
  server.closeAllConnections();
}

type TlsFiles = NonNullable<ListenerSettings['tls']>;

function readTls(files: TlsFiles): https.ServerOptions {
  try {
    return {
      cert: readFileSync(files.cert),
      key: readFileSync(files.key),
      ca: files.ca === undefined ? undefined : readFileSync(files.ca),
    };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ServingError('bad-settings', `cannot read TLS files: ${reason}`);
  }
}

/**
 * Certificates are renewed in place. A process that kept the old one would
 * refuse every caller once it expires; open connections stay as they are. A
 * pair that can't be used (half-written, say) is logged and the old one kept.
 */
function reloadRenewed(
  server: https.Server,
  files: TlsFiles,
  clock: Clock,
  log: Logger,
): Disposable {
  let seen = modificationTimes(files);
  return every(clock, RELOAD_INTERVAL_MS, () => {
    const current = modificationTimes(files);
    if (current === seen) {
      return;
    }
    try {
      server.setSecureContext(readTls(files));
      seen = current;
      log.info({cert: files.cert}, 'certificate reloaded');
    } catch (error) {
      log.warn({cert: files.cert, error: String(error)}, 'reload failed');
    }
  });
}

function modificationTimes(files: TlsFiles): string {
  return [files.cert, files.key]
    .map(path => statSync(path, {throwIfNoEntry: false})?.mtimeMs ?? 0)
    .join('/');
}
