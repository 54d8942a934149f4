/** Executes commands for a simulated engine; keeps what the engine runs. */
import {ServingError, type Clock} from '@skylarkfield/base';
import type {EndpointCommand} from '@skylarkfield/endpoints';

/** Version, adapters and role that an engine runs. */
export interface RunningState {
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

export interface CommandExecutor {
  /**
   * Executes a command. Throws `fenced` if fencing is checked and a command
   * with a higher fencing token has been executed, or `deadline-exceeded` if
   * the command has expired.
   */
  execute(command: EndpointCommand): void;
  running(): RunningState;
}

/**
 * Creates an executor. `onDidLoad` is called after each command that loads a
 * model or version, since the KV cache of the former one is unusable.
 *
 * @example
 * const executor = createCommandExecutor({
 *   clock, version: 'v1', role: 'serving', checksFencing: true, onDidLoad,
 * });
 * executor.execute(command);
 */
export function createCommandExecutor(options: {
  readonly clock: Clock;
  readonly version: string;
  readonly role: string;
  readonly checksFencing: boolean;
  readonly onDidLoad: () => void;
}): CommandExecutor {
  const {clock, checksFencing, onDidLoad} = options;
  let {version, role} = options;
  let adapters: string[] = [];
  let highestFencingToken = 0;

  const commandHandlers: Record<
    EndpointCommand['type'],
    (target: string) => void
  > = {
    'load-model': onDidLoad,
    'load-adapter': target => {
      adapters = [...new Set([...adapters, target])];
    },
    'load-version': target => {
      version = target;
      onDidLoad();
    },
    'set-role': target => {
      role = target;
    },
  };

  return {
    execute(command) {
      if (checksFencing && command.fencing < highestFencingToken) {
        throw new ServingError(
          'fenced',
          'the order has an outdated fencing token',
        );
      }
      if (clock.wall() > command.expiresAt) {
        throw new ServingError('deadline-exceeded', 'the order has expired');
      }
      highestFencingToken = Math.max(highestFencingToken, command.fencing);
      commandHandlers[command.type](command.target);
    },
    running: () => ({version, adapters, role}),
  };
}
