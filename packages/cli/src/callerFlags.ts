/** Flags of commands that call an entry as a customer. */
import {Flags} from '@oclif/core';

export const callerFlags = {
  entry: Flags.string({
    required: true,
    description: "address of an entry's caller port",
  }),
  key: Flags.string({
    required: true,
    env: 'SKYLARKFIELD_KEY',
    description: "customer's key",
  }),
};
