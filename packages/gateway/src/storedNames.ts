/** Schema of the names in stored objects, which other writers may have stored. */
import {isInheritedProperty} from '@skylarkfield/base';
import * as z from 'zod';

/** Name that may be a key of a plain object. */
export const nameSchema = z
  .string()
  .refine(
    name => !isInheritedProperty(name),
    'must not be the name of an inherited property',
  );
