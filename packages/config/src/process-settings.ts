/**
 * Settings of one process: addresses and place. They say nothing about work; that is the operators'
 * configuration.
 */
import { isIPv4 } from 'node:net';
import { z } from 'zod';
import { PlacementMode } from '@figjunction/types';
import { nameSchema } from './operator-configuration.js';

const PORT_MAXIMUM = 65_535;

const httpAddressSchema = z
  .string()
  .regex(/^http:\/\/[0-9.]+:[0-9]+$/u, 'use http://<ip>:<port>')
  .describe('http://<ip>:<port>');

/** Others connect to it, so an address that only a listener can use would cut the process off. */
const advertisedAddressSchema = httpAddressSchema.refine(isReachable, {
  error: 'use http://<ip>:<port> with an IP address and a port that others can connect to',
  when: ({ issues }) => issues.length === 0,
});

const locationSchema = z.strictObject({
  region: nameSchema,
  dataCentre: nameSchema,
  rack: nameSchema,
});

const commonFields = {
  host: z.string().default('127.0.0.1'),
  port: z.int().min(0).max(PORT_MAXIMUM).default(0).describe('0 picks a free port'),
  advertisedAddress: advertisedAddressSchema
    .nullable()
    .default(null)
    .describe('Where other processes reach this one; null: the address it listens on'),
  location: locationSchema,
  platformAddress: httpAddressSchema,
  sharedToken: z.string().min(16).describe('Shared by all processes of the system'),
  logLevel: z.enum(['silent', 'error', 'warn', 'info', 'debug']).default('info'),
  tracesEndpoint: z.url().nullable().default(null),
  seed: z.int().default(1),
  stopTimeoutMs: z.int().min(0).default(30_000),
};

/** Turns single mechanisms off, so that a measurement shows what each is worth. */
export const policySchema = z.strictObject({
  /** Nearest first, two choices, ejection, hedging; off: least connections. */
  routing: z.boolean().default(true),
  /** Classes, fair shares and deadlines in queues; off: first in, first out. */
  fairness: z.boolean().default(true),
  learning: z.boolean().default(true),
  interference: z.boolean().default(true),
  guards: z.boolean().default(true),
  quarantine: z.boolean().default(true),
  placementMode: z.enum(PlacementMode).default(PlacementMode.Push),
});

export const entrySettingsSchema = z.strictObject({
  entryId: nameSchema,
  ...commonFields,
  /** Entries to ask for the configuration when the table is down at the start. */
  peers: z.array(httpAddressSchema).default([]),
  policy: policySchema.prefault({}),
});

export const agentSettingsSchema = z.strictObject({
  agentId: nameSchema,
  ...commonFields,
  /** Entries to announce to when the table is down at the start. */
  entries: z.array(httpAddressSchema).default([]),
  workerAddress: httpAddressSchema,
  policy: policySchema.prefault({}),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
export type PolicySettings = z.infer<typeof policySchema>;

function isReachable(address: string): boolean {
  const { hostname, port } = /^http:\/\/(?<hostname>.*):(?<port>.*)$/u.exec(address)?.groups ?? {};
  const number = Number(port);
  return isIPv4(hostname ?? '') && hostname !== '0.0.0.0' && number > 0 && number <= PORT_MAXIMUM;
}
