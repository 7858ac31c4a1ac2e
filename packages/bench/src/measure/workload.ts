/**
 * The configuration that scenarios apply, modelled on the label service of Karaca at a size that fits one
 * machine.
 */
import { createHash } from 'node:crypto';
import type { z } from 'zod';
import type { operatorConfigurationSchema } from '@figjunction/config';

export type ConfigurationInput = z.input<typeof operatorConfigurationSchema>;

export const SERVICE = 'labels';
export const INTERACTIVE_CLASS = 'interactive';
export const URGENT_CLASS = 'rush';
const OVERNIGHT_CLASS = 'overnight';
export const URGENT_KIND = 'rush-reprint';
export const OVERNIGHT_KIND = 'menu-reprint';
/** A kind that slows services on the same VM down more than others. */
export const NOISY_KIND = 'image-render';
/** A kind that fits on no VM of a measurement. */
export const IMPOSSIBLE_KIND = 'giant-render';
export const OPERATOR_TOKEN = 'operator-token-of-a-measurement';

export const BATCH_SIZE = { processorMillicores: 500, memoryMegabytes: 512, accelerators: 0 };
const IMPOSSIBLE_SIZE = { processorMillicores: 1_000_000, memoryMegabytes: 512, accelerators: 0 };
const INSTANCE_SIZE = { processorMillicores: 2_000, memoryMegabytes: 4_096, accelerators: 0 };

export interface WorkloadOptions {
  instances: number;
  teams: string[];
  requestsPerSecond?: number;
  runningTasks?: number;
  slotsPerInstance?: number;
  timeoutMs?: number;
  batchSize?: typeof BATCH_SIZE;
  guards?: ConfigurationInput['guards'];
}

const DEFAULT_REQUESTS_PER_SECOND = 10_000;
const DEFAULT_RUNNING_TASKS = 10_000;
const DEFAULT_SLOTS = 8;
const DEFAULT_TIMEOUT_MS = 5_000;

export function tokenOf(team: string): string {
  return `token-of-team-${team}`;
}

export function createConfiguration(options: WorkloadOptions): ConfigurationInput {
  const { instances, teams, timeoutMs = DEFAULT_TIMEOUT_MS, batchSize = BATCH_SIZE } = options;
  return {
    urgencyClasses: [
      { name: INTERACTIVE_CLASS, rank: 0, guaranteedShare: 0.6 },
      { name: URGENT_CLASS, rank: 1, guaranteedShare: 0.2 },
      { name: OVERNIGHT_CLASS, rank: 2, guaranteedShare: 0.1 },
    ],
    services: [
      {
        name: SERVICE,
        urgency: INTERACTIVE_CLASS,
        instances,
        slotsPerInstance: options.slotsPerInstance ?? DEFAULT_SLOTS,
        size: INSTANCE_SIZE,
        timeoutMs,
      },
    ],
    batchKinds: [
      { name: URGENT_KIND, urgency: URGENT_CLASS, size: batchSize },
      { name: OVERNIGHT_KIND, urgency: OVERNIGHT_CLASS, size: batchSize },
      { name: NOISY_KIND, urgency: OVERNIGHT_CLASS, size: batchSize },
      { name: IMPOSSIBLE_KIND, urgency: URGENT_CLASS, size: IMPOSSIBLE_SIZE },
    ],
    teams: teams.map((name) => ({
      name,
      requestsPerSecond: options.requestsPerSecond ?? DEFAULT_REQUESTS_PER_SECOND,
      runningTasks: options.runningTasks ?? DEFAULT_RUNNING_TASKS,
      urgencies: [INTERACTIVE_CLASS, URGENT_CLASS, OVERNIGHT_CLASS],
      tokens: [{ sha256: hashToken(tokenOf(name)) }],
    })),
    operators: [{ name: 'measurement', tokens: [{ sha256: hashToken(OPERATOR_TOKEN) }] }],
    guards: options.guards,
  };
}

function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
