/** Flags of commands that query the admin port of an entry. */
import {Flags} from '@oclif/core';

export const adminFlags = {
  admin: Flags.string({
    required: true,
    description: "address of the entry's admin port",
  }),
  key: Flags.string({
    required: true,
    env: 'SKYLARKFIELD_ADMIN_KEY',
    description: 'admin key',
  }),
};
