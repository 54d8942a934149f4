/** HTTP and HTTPS listeners with hot reload of certificates. */
import {readFileSync, statSync} from 'node:fs';
import http from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import {
  createConnectionGuard,
  createDisposableStore,
  scheduleRepeatedly,
  ServingError,
  toDisposable,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';
import type {EntrySettings, ListenerSettings} from './settings.js';

/** Interval of checks for changed certificate files, in milliseconds. */
const CERTIFICATE_CHECK_INTERVAL_MS = 5_000;

export type HttpServer = http.Server | https.Server;

export interface Listener extends Disposable {
  /**
   * Stops accepting connections, closes idle connections and waits at most
   * `timeoutMs` until the other connections have closed; `dispose` closes all
   * connections immediately.
   */
  close(timeoutMs: number): Promise<void>;
  readonly server: HttpServer;
  readonly port: number;
  readonly scheme: 'http' | 'https';
}

/**
 * Creates a server with the limits of the settings and without handlers;
 * `openListener` opens its port.
 *
 * @example
 * const server = createServer(settings.admin, settings.limits, log);
 */
export function createServer(
  settings: ListenerSettings,
  limits: EntrySettings['limits'],
  log: Logger,
): HttpServer {
  const guard = createConnectionGuard(unansweredCount =>
    log.warn({port: settings.port, unansweredCount}, 'connection closed'),
  );
  const options = {
    ServerResponse: guard.ServerResponse,
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerMs,
    requestTimeout: limits.requestMs,
    // Node enforces the two timeouts above only at this interval; with the
    // default of 30 s, a slow sender could far exceed both timeouts.
    connectionsCheckingInterval: Math.min(limits.headerMs, 1_000),
  };
  const server =
    settings.tls === undefined
      ? http.createServer(options)
      : https.createServer({...options, ...readTls(settings.tls)});
  guard.attach(server);
  server.maxConnections = limits.connections;
  return server;
}

/**
 * Binds a server and reloads renewed certificates until disposed.
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
  const disposables = createDisposableStore();
  disposables.add(toDisposable(() => closeImmediately(server)));
  if (settings.tls !== undefined) {
    disposables.add(
      watchCertificates(server as https.Server, settings.tls, clock, log),
    );
  }
  return {
    server,
    port: (server.address() as AddressInfo).port,
    scheme: settings.tls === undefined ? 'http' : 'https',
    close: timeoutMs => closeGracefully(server, timeoutMs, clock),
    dispose: () => disposables.dispose(),
  };
}

function bind(server: HttpServer, settings: ListenerSettings): Promise<void> {
  return new Promise((resolve, reject) => {
    function onError(error: Error) {
      const address = `${settings.host}:${settings.port}`;
      reject(
        new ServingError(
          'bad-settings',
          `cannot listen on ${address}: ${error.message}`,
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

function closeImmediately(server: HttpServer): void {
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
 * Reloads certificates that are renewed in place; without a reload, every
 * handshake would fail once the loaded certificate expires. Open connections
 * are unaffected. A failed reload (of a partly written file, for example) is
 * logged, and the loaded certificate and key stay in use.
 */
function watchCertificates(
  server: https.Server,
  files: TlsFiles,
  clock: Clock,
  log: Logger,
): Disposable {
  let loadedModificationTimes = readModificationTimes(files);
  return scheduleRepeatedly(clock, CERTIFICATE_CHECK_INTERVAL_MS, () => {
    const currentModificationTimes = readModificationTimes(files);
    if (currentModificationTimes === loadedModificationTimes) {
      return;
    }
    try {
      server.setSecureContext(readTls(files));
      loadedModificationTimes = currentModificationTimes;
      log.info({cert: files.cert}, 'certificate reloaded');
    } catch (error) {
      log.warn(
        {cert: files.cert, error: String(error)},
        'certificate reload failed',
      );
    }
  });
}

/** Returns the modification times of certificate and key, 0 if missing. */
function readModificationTimes(files: TlsFiles): string {
  return [files.cert, files.key]
    .map(path => statSync(path, {throwIfNoEntry: false})?.mtimeMs ?? 0)
    .join('/');
}
