/** The two schema versions of endpoint class records. */
import * as z from 'zod';
import type {EndpointClass} from '../contracts.js';
import {conversion, type Conversions} from './conversion.js';

const first = z.strictObject({
  schema: z.literal(1),
  checksFencing: z.boolean(),
});

/** Says what the endpoints do with an order that carries an old number. */
const second = z.strictObject({
  schema: z.literal(2),
  staleOrders: z.enum(['refused', 'obeyed']),
});

/** From each schema version to the accepted form. */
export const endpointClassConversions: Conversions<EndpointClass> = {
  1: conversion(first, (name, record) => ({
    name,
    checksFencing: record.checksFencing,
  })),
  2: conversion(second, (name, record) => ({
    name,
    checksFencing: record.staleOrders === 'refused',
  })),
};
