/**
 * A system of separate processes on loopback: fake platform, fake workers, entries and agents.
 */
import { fileURLToPath } from 'node:url';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { HttpClient } from '@figjunction/http';
import type { ManagedProcess } from '../harness/managed-process.js';
import { ProcessHarness } from '../harness/process-harness.js';
import { HarnessError, waitUntil } from '../harness/wait-until.js';
import type { TcpRelay } from '../relay/tcp-relay.js';
import { ClusterPorts, pick, range } from './cluster-ports.js';
import { ClusterRelays } from './cluster-relays.js';
import { isInForce } from './cluster-status.js';
import { PlatformControl, WorkerControl } from './control-client.js';
import { EntryClient } from './entry-client.js';
import {
  TEST_SHARED_TOKEN,
  agentIdOf,
  completeOptions,
  locationOf,
  writeAgentSettings,
  writeEntrySettings,
} from './cluster-settings.js';
import type { ClusterOptions, ClusterPlan } from './cluster-settings.js';
import type { ExecutionRecord } from '../worker/execution-log.js';

const PLATFORM_FILE = fileURLToPath(new URL('../platform-main.js', import.meta.url));
const WORKER_FILE = fileURLToPath(new URL('../worker-main.js', import.meta.url));
const DAEMON_FILE = fileURLToPath(new URL('../../../daemon/bin/figjunctiond.js', import.meta.url));

const RETRIED_CODES = [ErrorCode.Unavailable, ErrorCode.Throttled, ErrorCode.TimedOut];

export class Cluster {
  readonly harness = new ProcessHarness();

  readonly http = new HttpClient();

  /** Those that the options ask for. */
  readonly relays: ClusterRelays;

  readonly entries: ManagedProcess[] = [];

  readonly agents: ManagedProcess[] = [];

  readonly workers: ManagedProcess[] = [];

  /** Token that `apply` uses; set it once a configuration with operators is in force. */
  operatorToken = TEST_SHARED_TOKEN;

  private platformProcess: ManagedProcess | null = null;

  private readonly folder = this.harness.createFolder();

  private portsOfDaemons: ClusterPorts | null = null;

  constructor(private readonly plan: ClusterPlan) {
    this.relays = new ClusterRelays(plan, (closer) => this.harness.onClose(closer));
  }

  get platformRelays(): Map<string, TcpRelay> {
    return this.relays.platform;
  }

  get platform(): ManagedProcess {
    if (this.platformProcess === null) {
      throw new HarnessError('the platform is not started');
    }
    return this.platformProcess;
  }

  get platformControl(): PlatformControl {
    return new PlatformControl(this.platform.address, this.http);
  }

  workerControl(index: number): WorkerControl {
    return new WorkerControl(pick(this.workers, index, 'worker').address, this.http);
  }

  entryClient(index = 0): EntryClient {
    return new EntryClient(pick(this.entries, index, 'entry').address, this.http);
  }

  /** Starts everything; on failure nothing is left running. */
  async start(): Promise<void> {
    try {
      await this.startPlatform();
      await this.relays.startToPlatform(this.platform.address);
      await this.reservePorts();
      const { entries, agents } = this.plan;
      await Promise.all(range(agents).map((index) => this.startWorker(index)));
      await Promise.all(range(entries).map((index) => this.startEntry(index)));
      await Promise.all(range(agents).map((index) => this.startAgent(index)));
    } catch (error) {
      await this.close();
      throw error;
    }
  }

  async startPlatform(): Promise<void> {
    this.platformProcess = await this.harness.start({
      name: 'platform',
      file: PLATFORM_FILE,
      arguments: this.plan.platformArguments,
    });
  }

  async startWorker(index: number): Promise<void> {
    const { capacity, seed, workerArguments, agentLocations } = this.plan;
    const { region } = locationOf(agentLocations, index);
    this.workers[index] = await this.harness.start({
      name: `worker-${index + 1}`,
      file: WORKER_FILE,
      arguments: [
        `--worker-id=${agentIdOf(index)}`,
        `--platform=${this.platformAddressIn(region)}`,
        `--processor-millicores=${capacity.processorMillicores}`,
        `--memory-megabytes=${capacity.memoryMegabytes}`,
        `--accelerators=${capacity.accelerators}`,
        `--seed=${seed + index}`,
        ...workerArguments,
      ],
    });
  }

  /** Starts an entry, also again after it ended: it keeps its id and its address. */
  async startEntry(index: number): Promise<ManagedProcess> {
    const { region } = locationOf(this.plan.entryLocations, index);
    const port = await this.ports.releaseEntry(index);
    const advertisedAddress = this.relays.entries[index]?.address ?? null;
    const context = { ...this.settingsContext(index, region), port, advertisedAddress };
    const file = writeEntrySettings(context);
    const started = await this.startDaemon(`entry-${index + 1}`, 'entry', file, region);
    this.entries[index] = started;
    return started;
  }

  /** Starts an agent, also again after it ended: it keeps its id and its address. */
  async startAgent(index: number): Promise<ManagedProcess> {
    const { region } = locationOf(this.plan.agentLocations, index);
    const { address } = pick(this.workers, index, 'worker');
    const port = await this.ports.releaseAgent(index);
    const advertisedAddress = this.relays.agents[index]?.address ?? null;
    const context = { ...this.settingsContext(index, region), port, advertisedAddress };
    const file = writeAgentSettings(context, address);
    const started = await this.startDaemon(agentIdOf(index), 'agent', file, region);
    this.agents[index] = started;
    return started;
  }

  /** Applies a configuration through an entry; waits while the entry cannot reach what it needs. */
  async apply(configuration: unknown, entryIndex = 0): Promise<number> {
    const client = this.entryClient(entryIndex);
    const attempt = async (): Promise<{ revision: number } | { refusal: Error }> => {
      try {
        return { revision: await client.apply(configuration, this.operatorToken) };
      } catch (error) {
        if (RETRIED_CODES.includes(errorCodeOf(error))) {
          throw error;
        }
        return { refusal: error as Error };
      }
    };
    const result = await waitUntil(attempt, { what: 'the configuration is accepted' });
    if ('refusal' in result) {
      throw result.refusal;
    }
    return result.revision;
  }

  /** Waits until every entry and agent has confirmed the revision and every agent serves. */
  async waitUntilInForce(revision: number): Promise<void> {
    const checkAll = async (): Promise<boolean> => {
      const statuses = await Promise.all(
        this.entries.map((_entry, index) => this.entryClient(index).readStatus(TEST_SHARED_TOKEN)),
      );
      return statuses.every((status) => isInForce(status, revision, this.plan));
    };
    await waitUntil(checkAll, { what: `revision ${revision} is in force everywhere` });
  }

  /** What executed on all workers, in the order of the host's clock. */
  async readExecutionLog(): Promise<ExecutionRecord[]> {
    const logs = await Promise.all(
      this.workers.map((_worker, index) => this.workerControl(index).readLog()),
    );
    return logs.flat().sort((one, other) => one.atHostMs - other.atHostMs);
  }

  /** SIGTERM to agents, then entries, then the fakes, each awaited. */
  async stopGracefully(): Promise<void> {
    for (const group of [this.agents, this.entries, this.workers, [this.platform]]) {
      await Promise.all(group.map((one) => one.terminate()));
    }
  }

  async close(): Promise<void> {
    this.http.close();
    await this.harness.close();
  }

  private get ports(): ClusterPorts {
    if (this.portsOfDaemons === null) {
      throw new HarnessError('the ports are not reserved');
    }
    return this.portsOfDaemons;
  }

  private async reservePorts(): Promise<void> {
    const ports = await ClusterPorts.reserve(this.plan.entries, this.plan.agents);
    this.harness.onClose(() => ports.releaseAll());
    this.portsOfDaemons = ports;
    await this.relays.startToProcesses(ports.entryAddresses, ports.agentAddresses);
  }

  private startDaemon(
    name: string,
    role: string,
    settings: string,
    region: string,
  ): Promise<ManagedProcess> {
    return this.harness.start({
      name,
      file: DAEMON_FILE,
      arguments: [role, '--settings', settings],
      environment: this.relays.environmentIn(region),
    });
  }

  private settingsContext(index: number, region: string) {
    const { plan, folder, relays } = this;
    const entryAddresses = this.ports.entryAddresses.map(
      (address, entry) => relays.entries[entry]?.address ?? address,
    );
    return { plan, folder, entryAddresses, platformAddress: this.platformAddressIn(region), index };
  }

  private platformAddressIn(region: string): string {
    return this.platformRelays.get(region)?.address ?? this.platform.address;
  }
}

export async function startCluster(options: ClusterOptions = {}): Promise<Cluster> {
  const cluster = new Cluster(completeOptions(options));
  await cluster.start();
  return cluster;
}
