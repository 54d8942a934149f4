/** Flags of commands that speak to an entry as a customer does. */
import {Flags} from '@oclif/core';

export const callerFlags = {
  entry: Flags.string({
    required: true,
    description: "address of an entry's port for callers",
  }),
  key: Flags.string({
    required: true,
    env: 'SKYLARKFIELD_KEY',
    description: "customer's key",
  }),
};
