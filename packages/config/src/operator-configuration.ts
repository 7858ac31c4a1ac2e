/**
 * The shape of the file that operators apply. Every limit that the system enforces is stated here, so
 * that one file is one complete desired state.
 */
import { z } from 'zod';
import {
  ApprovalMode,
  JOB_TASKS_DEFAULT,
  JOB_TASKS_MAXIMUM,
  NAME_LENGTH_MAXIMUM,
} from '@figjunction/types';

const MILLICORES_MAXIMUM = 1_024_000;
const MEMORY_MEGABYTES_MAXIMUM = 16 * 1024 * 1024;
const ACCELERATORS_MAXIMUM = 64;
const INSTANCES_MAXIMUM = 1_000;
const SLOTS_MAXIMUM = 1_024;
const CONNECTIONS_MAXIMUM = 65_536;
const TIMEOUT_MS_MAXIMUM = 600_000;
const RATE_MAXIMUM = 1_000_000;
const SHA256_HEXADECIMAL = /^[0-9a-f]{64}$/u;

export const nameSchema = z
  .string()
  .max(NAME_LENGTH_MAXIMUM)
  .regex(/^[a-z0-9][a-z0-9-]*$/u, 'use lower-case letters, digits and hyphens')
  .describe('A name of lower-case letters, digits and hyphens');

export const resourcesSchema = z.strictObject({
  processorMillicores: z.int().min(0).max(MILLICORES_MAXIMUM),
  memoryMegabytes: z.int().min(0).max(MEMORY_MEGABYTES_MAXIMUM),
  accelerators: z.int().min(0).max(ACCELERATORS_MAXIMUM).default(0),
});

/** Which VMs something may use; an empty list means all. */
export const allowedVmsSchema = z.strictObject({
  dataCentres: z.array(nameSchema).default([]),
  racks: z.array(nameSchema).default([]),
  vms: z.array(nameSchema).default([]),
});

export const urgencyClassSchema = z.strictObject({
  name: nameSchema,
  rank: z.int().min(0).max(100).describe('0 is the most urgent'),
  guaranteedShare: z.number().min(0).max(1).describe('Fraction of slots kept for this class'),
});

export const serviceSchema = z.strictObject({
  name: nameSchema,
  urgency: nameSchema,
  instances: z.int().min(0).max(INSTANCES_MAXIMUM),
  slotsPerInstance: z.int().min(1).max(SLOTS_MAXIMUM).default(8),
  connectionsPerInstance: z.int().min(1).max(CONNECTIONS_MAXIMUM).default(64),
  size: resourcesSchema,
  timeoutMs: z.int().min(1).max(TIMEOUT_MS_MAXIMUM).default(5_000),
  requestBytesMaximum: z
    .int()
    .min(1)
    .max(8 * 1024 * 1024)
    .default(1024 * 1024),
  queueMaximum: z.int().min(1).max(100_000).default(512),
  allowed: allowedVmsSchema.prefault({}),
  placement: z.enum(ApprovalMode).default(ApprovalMode.Automatic),
  instancesPerVm: z.int().min(1).max(64).default(1),
});

export const batchKindSchema = z.strictObject({
  name: nameSchema,
  urgency: nameSchema,
  size: resourcesSchema.describe('Declared size of one task; the true size is learnt'),
  checkpointable: z.boolean().default(true),
  failuresMaximum: z.int().min(1).max(100).default(6),
  lossWeight: z
    .number()
    .min(0)
    .max(1_000)
    .default(1)
    .describe('Cost of a lost second of this work'),
  tasksPerJobMaximum: z.int().min(1).max(JOB_TASKS_MAXIMUM).default(JOB_TASKS_DEFAULT),
  allowed: allowedVmsSchema.prefault({}),
  placement: z.enum(ApprovalMode).default(ApprovalMode.Automatic),
});

export const tokenSchema = z.strictObject({
  sha256: z
    .string()
    .regex(SHA256_HEXADECIMAL, 'use the SHA-256 of the token, 64 hexadecimal digits'),
  note: z.string().max(200).default(''),
});

export const teamSchema = z.strictObject({
  name: nameSchema,
  weight: z.number().positive().max(1_000).default(1),
  requestsPerSecond: z.number().min(0).max(RATE_MAXIMUM).default(100),
  runningTasks: z.int().min(0).max(1_000_000).default(100),
  processorMillicores: z.int().min(0).default(MILLICORES_MAXIMUM),
  urgencies: z.array(nameSchema).min(1).describe('Urgency classes the team may use'),
  tokens: z.array(tokenSchema).default([]),
});

export const guardsSchema = z.strictObject({
  enabled: z.boolean().default(true),
  actAboveSlowdown: z.number().min(1).max(100).default(1.3),
  relaxBelowSlowdown: z.number().min(1).max(100).default(1.25),
  measurementsToAct: z.int().min(1).max(100).default(2),
  relaxAfterMs: z.int().min(0).default(10_000),
  evictionsPerVmInterval: z.int().min(0).default(1),
  evictionIntervalMs: z.int().min(1).default(30_000),
  evictionsPerRun: z.int().min(0).default(3),
});

export const weightsSchema = z.strictObject({
  tailLatency: z.number().min(0).max(10).default(1),
  throughput: z.number().min(0).max(10).default(1),
  evictions: z.number().min(0).max(10).default(1),
});

export const operatorSchema = z.strictObject({
  name: nameSchema,
  tokens: z.array(tokenSchema).min(1),
});

export const operatorConfigurationSchema = z.strictObject({
  $schema: z.string().optional(),
  urgencyClasses: z.array(urgencyClassSchema).min(1).max(16),
  services: z.array(serviceSchema).default([]),
  batchKinds: z.array(batchKindSchema).default([]),
  teams: z.array(teamSchema).default([]),
  operators: z.array(operatorSchema).default([]),
  guards: guardsSchema.prefault({}),
  weights: weightsSchema.prefault({}),
  interRegionBytesPerSecond: z.int().min(0).default(1_250_000),
  approvedProposals: z.array(z.string().min(1).max(100)).default([]),
});

export type OperatorConfiguration = z.infer<typeof operatorConfigurationSchema>;
export type ServiceConfiguration = z.infer<typeof serviceSchema>;
export type BatchKindConfiguration = z.infer<typeof batchKindSchema>;
export type TeamConfiguration = z.infer<typeof teamSchema>;
export type UrgencyClassConfiguration = z.infer<typeof urgencyClassSchema>;
export type GuardsConfiguration = z.infer<typeof guardsSchema>;
export type AllowedVms = z.infer<typeof allowedVmsSchema>;
export type Weights = z.infer<typeof weightsSchema>;
