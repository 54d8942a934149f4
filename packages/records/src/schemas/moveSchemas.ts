/** The two schema versions of move records. */
import * as z from 'zod';
import type {Move} from '../contracts.js';
import {conversion, type Conversions} from './conversion.js';
import {nameField} from './fields.js';

const DEFAULT_UNPROVEN_SHARE = 0.05;

const first = z
  .strictObject({
    schema: z.literal(1),
    service: nameField,
    from: nameField,
    to: nameField,
    /** Wall-clock milliseconds since 1970. */
    deadline: z.int().positive(),
    maxUnprovenShare: z.number().gt(0).max(1).default(DEFAULT_UNPROVEN_SHARE),
  })
  .refine(record => record.from !== record.to, {
    path: ['to'],
    message: 'another version than from',
  });

/** The deadline is a time in ISO 8601 and the share is in percent. */
const second = z
  .strictObject({
    schema: z.literal(2),
    service: nameField,
    versions: z.strictObject({from: nameField, to: nameField}),
    finishBy: z.iso.datetime({offset: true}),
    maxUnprovenPercent: z
      .number()
      .gt(0)
      .max(100)
      .default(DEFAULT_UNPROVEN_SHARE * 100),
  })
  .refine(({versions}) => versions.from !== versions.to, {
    path: ['versions', 'to'],
    message: 'another version than from',
  });

/** From each schema version to the accepted form. */
export const moveConversions: Conversions<Move> = {
  1: conversion(first, (name, record) => ({
    name,
    service: record.service,
    from: record.from,
    to: record.to,
    deadline: record.deadline,
    maxUnprovenShare: record.maxUnprovenShare,
  })),
  2: conversion(second, (name, record) => ({
    name,
    service: record.service,
    from: record.versions.from,
    to: record.versions.to,
    deadline: Date.parse(record.finishBy),
    maxUnprovenShare: record.maxUnprovenPercent / 100,
  })),
};
