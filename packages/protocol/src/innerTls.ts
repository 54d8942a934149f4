/** Keys of the inner port, read from files and read again when they are renewed. */
import {readFile, stat} from 'node:fs/promises';
import {
  ServingError,
  emitter,
  every,
  type Clock,
  type Disposable,
  type Logger,
} from '@skylarkfield/base';

/** Where the settings say that the keys are. */
export interface TlsPaths {
  /** PEM file with the certificate chain. */
  readonly cert: string;
  /** PEM file with the private key. */
  readonly key: string;
  /** PEM file with the authorities that peers' certificates must come from. */
  readonly ca: string;
}

/** Certificates and key, PEM encoded. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

export interface RenewedTls extends Disposable {
  current(): TlsMaterial;
  onDidRenew(listener: (material: TlsMaterial) => void): Disposable;
}

const CHECK_INTERVAL_MS = 10_000;

/**
 * Reads the files and follows their renewal; connections that are open go on
 * with the old key.
 *
 * @example
 * const tls = await readTls({paths, clock, log});
 * tls.onDidRenew(material => server.setSecureContext(material));
 */
export async function readTls(options: {
  readonly paths: TlsPaths;
  readonly clock: Clock;
  readonly log: Logger;
  readonly checkIntervalMs?: number;
}): Promise<RenewedTls> {
  const {paths, clock, log} = options;
  const renewed = emitter<TlsMaterial>();
  let stamp = await stampOf(paths);
  let material = await readMaterial(paths);

  async function check(): Promise<void> {
    const found = await stampOf(paths);
    if (found === stamp) {
      return;
    }
    const read = await readMaterial(paths);
    // A renewal in progress may pair a new certificate with the old key: the
    // listener throws, nothing is kept, and the next check tries again.
    renewed.fire(read);
    material = read;
    stamp = found;
    log.info('the keys of the inner port were renewed');
  }

  const checks = every(
    clock,
    options.checkIntervalMs ?? CHECK_INTERVAL_MS,
    () => {
      check().catch(error =>
        log.warn(
          {reason: String(error)},
          'renewed inner keys are not usable yet',
        ),
      );
    },
  );
  return {
    current: () => material,
    onDidRenew: renewed.event,
    dispose: () => checks.dispose(),
  };
}

async function stampOf(paths: TlsPaths): Promise<string> {
  const files = [paths.cert, paths.key, paths.ca];
  const stats = await Promise.all(files.map(file => stat(file))).catch(
    unusable,
  );
  return stats
    .map(found => `${found.mtimeMs}/${found.size}/${found.ino}`)
    .join();
}

async function readMaterial(paths: TlsPaths): Promise<TlsMaterial> {
  const files = [paths.cert, paths.key, paths.ca];
  const [cert, key, ca] = await Promise.all(
    files.map(file => readFile(file)),
  ).catch(unusable);
  return {cert: cert!, key: key!, ca: ca!};
}

function unusable(error: unknown): never {
  throw new ServingError('bad-settings', `inner TLS: ${String(error)}`, {
    cause: error,
  });
}
