/** TLS certificates and key of the inner port, reloaded on file changes. */
import {readFile, stat} from 'node:fs/promises';
import {
  ServingError,
  createEmitter,
  scheduleRepeatedly,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';

/** Paths of the TLS files, as given in the settings. */
export interface TlsPaths {
  /** PEM file with the certificate chain. */
  readonly cert: string;
  /** PEM file with the private key. */
  readonly key: string;
  /** PEM file with the CA certificates that verify peers. */
  readonly ca: string;
}

/** Certificates and key, PEM encoded. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

export interface TlsWatcher extends Disposable {
  current(): TlsMaterial;
  onDidRenew(listener: (material: TlsMaterial) => void): Disposable;
}

const CHECK_INTERVAL_MS = 10_000;

/**
 * Reads the TLS files and reloads them when they change; open connections keep
 * the old key. Throws `bad-settings` if a file cannot be read.
 *
 * @example
 * const tls = await watchTls({paths, clock, log});
 * tls.onDidRenew(material => server.setSecureContext(material));
 */
export async function watchTls(options: {
  readonly paths: TlsPaths;
  readonly clock: Clock;
  readonly log: Logger;
  readonly checkIntervalMs?: number;
}): Promise<TlsWatcher> {
  const {paths, clock, log} = options;
  const renewalEmitter = createEmitter<TlsMaterial>();
  let fingerprint = await readFingerprint(paths);
  let material = await readMaterial(paths);

  async function reloadIfChanged(): Promise<void> {
    const newFingerprint = await readFingerprint(paths);
    if (newFingerprint === fingerprint) {
      return;
    }
    const newMaterial = await readMaterial(paths);
    // While files are being replaced, the new certificate may be paired with
    // the old key: the listener throws, the old certificate and key stay in
    // use, and the next check retries.
    renewalEmitter.fire(newMaterial);
    material = newMaterial;
    fingerprint = newFingerprint;
    log.info('reloaded the TLS certificate and key of the inner port');
  }

  const checkTimer = scheduleRepeatedly(
    clock,
    options.checkIntervalMs ?? CHECK_INTERVAL_MS,
    () => {
      reloadIfChanged().catch(error =>
        log.warn(
          {reason: String(error)},
          'cannot load the changed TLS files of the inner port yet; will retry',
        ),
      );
    },
  );
  return {
    current: () => material,
    onDidRenew: renewalEmitter.event,
    dispose: () => checkTimer.dispose(),
  };
}

async function readFingerprint(paths: TlsPaths): Promise<string> {
  const files = [paths.cert, paths.key, paths.ca];
  const stats = await Promise.all(files.map(file => stat(file))).catch(
    throwBadSettings,
  );
  return stats
    .map(fileStat => `${fileStat.mtimeMs}/${fileStat.size}/${fileStat.ino}`)
    .join();
}

async function readMaterial(paths: TlsPaths): Promise<TlsMaterial> {
  const files = [paths.cert, paths.key, paths.ca];
  const [cert, key, ca] = await Promise.all(
    files.map(file => readFile(file)),
  ).catch(throwBadSettings);
  return {cert: cert!, key: key!, ca: ca!};
}

function throwBadSettings(error: unknown): never {
  throw new ServingError(
    'bad-settings',
    `cannot read the TLS files of the inner port: ${String(error)}`,
    {
      cause: error,
    },
  );
}
