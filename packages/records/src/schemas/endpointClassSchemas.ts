/** The two schema versions of endpoint class records. */
import * as z from 'zod';
import type {EndpointClass} from '../contracts.js';
import {createConversion, type Conversions} from './conversion.js';

const schemaV1 = z.strictObject({
  schema: z.literal(1),
  checksFencing: z.boolean(),
});

/** Version 2 names how endpoints treat commands with an old fencing token. */
const schemaV2 = z.strictObject({
  schema: z.literal(2),
  staleOrders: z.enum(['refused', 'obeyed']),
});

/** Conversions from each schema version to the accepted form. */
export const endpointClassConversions: Conversions<EndpointClass> = {
  1: createConversion(schemaV1, (name, record) => ({
    name,
    checksFencing: record.checksFencing,
  })),
  2: createConversion(schemaV2, (name, record) => ({
    name,
    checksFencing: record.staleOrders === 'refused',
  })),
};
