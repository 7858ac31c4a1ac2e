/**
 * What a cluster of test processes consists of, and the settings file of each process.
 */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { agentSettingsSchema, entrySettingsSchema } from '@figjunction/config';
import type { PolicySettings } from '@figjunction/config';
import type { Location, Resources } from '@figjunction/types';

export interface ClusterOptions {
  entries?: number;
  agents?: number;
  /** Where entries are, in turn. */
  entryLocations?: Location[];
  /** Where agents are, in turn. */
  agentLocations?: Location[];
  policy?: Partial<PolicySettings>;
  capacity?: Resources;
  seed?: number;
  logLevel?: 'silent' | 'error' | 'warn' | 'info' | 'debug';
  stopTimeoutMs?: number;
  /** More flags of the fake platform and the fake workers. */
  platformArguments?: string[];
  workerArguments?: string[];
  /** Puts a relay between the processes of each region and the platform. */
  withPlatformRelays?: boolean;
  /** Puts a relay in front of each entry, which advertises the relay. */
  withEntryRelays?: boolean;
  /** Puts a relay in front of each agent, which advertises the relay. */
  withAgentRelays?: boolean;
}

/** Shared by all processes of a test cluster; an operator's token until the first configuration. */
export const TEST_SHARED_TOKEN = 'shared-token-of-a-test-cluster';

export const DEFAULT_LOCATIONS: Location[] = [
  { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' },
  { region: 'marmara', dataCentre: 'bursa', rack: 'bursa-1' },
  { region: 'ege', dataCentre: 'izmir', rack: 'izmir-1' },
];

export const DEFAULT_CAPACITY: Resources = {
  processorMillicores: 16_000,
  memoryMegabytes: 61_440,
  accelerators: 0,
};

const DEFAULT_STOP_TIMEOUT_MS = 10_000;

export type ClusterPlan = Required<ClusterOptions>;

export function completeOptions(options: ClusterOptions): ClusterPlan {
  return {
    entries: 2,
    agents: 3,
    entryLocations: DEFAULT_LOCATIONS,
    agentLocations: DEFAULT_LOCATIONS,
    policy: {},
    capacity: DEFAULT_CAPACITY,
    seed: 1,
    logLevel: 'info',
    stopTimeoutMs: DEFAULT_STOP_TIMEOUT_MS,
    platformArguments: [],
    workerArguments: [],
    withPlatformRelays: false,
    withEntryRelays: false,
    withAgentRelays: false,
    ...options,
  };
}

export function locationOf(locations: Location[], index: number): Location {
  const location = locations[index % locations.length];
  if (location === undefined) {
    throw new RangeError('a cluster needs at least one location');
  }
  return location;
}

export interface SettingsContext {
  plan: ClusterPlan;
  folder: string;
  /** Advertised addresses of all entries. */
  entryAddresses: string[];
  platformAddress: string;
  index: number;
  /** Where this process listens, and its relay if it has one. */
  port: number;
  advertisedAddress: string | null;
}

export function writeEntrySettings(context: SettingsContext): string {
  const { plan, index, entryAddresses } = context;
  const own = entryAddresses[index] ?? '';
  const settings = {
    entryId: `entry-${index + 1}`,
    ...commonSettings(context, locationOf(plan.entryLocations, index)),
    peers: entryAddresses.filter((address) => address !== own),
  };
  return writeSettings(context, settings.entryId, entrySettingsSchema.parse(settings));
}

export function writeAgentSettings(context: SettingsContext, workerAddress: string): string {
  const { plan, index, entryAddresses } = context;
  const settings = {
    agentId: agentIdOf(index),
    ...commonSettings(context, locationOf(plan.agentLocations, index)),
    entries: entryAddresses,
    workerAddress,
  };
  return writeSettings(context, settings.agentId, agentSettingsSchema.parse(settings));
}

export function agentIdOf(index: number): string {
  return `vm-${index + 1}`;
}

function commonSettings(context: SettingsContext, location: Location) {
  const { plan, platformAddress, index, port, advertisedAddress } = context;
  return {
    port,
    advertisedAddress,
    location,
    platformAddress,
    sharedToken: TEST_SHARED_TOKEN,
    logLevel: plan.logLevel,
    seed: plan.seed + index,
    stopTimeoutMs: plan.stopTimeoutMs,
    policy: plan.policy,
  };
}

function writeSettings(context: SettingsContext, name: string, settings: unknown): string {
  const file = path.join(context.folder, `${name}.jsonc`);
  writeFileSync(file, JSON.stringify(settings, null, 2));
  return file;
}
