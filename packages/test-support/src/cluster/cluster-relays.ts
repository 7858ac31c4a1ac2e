/**
 * The relays of a cluster: between each region and the platform, and in front of each entry and agent,
 * which then advertises its relay. A relay cuts off everybody who calls its process, or only the callers of
 * one region, which it knows by the address that their connections come from.
 */
import { TcpRelay } from '../relay/tcp-relay.js';
import { locationOf } from './cluster-settings.js';
import type { ClusterPlan } from './cluster-settings.js';
import { SOURCE_ADDRESS_VARIABLE } from './source-address.js';

const PRELOAD = new URL('./source-address.js', import.meta.url).href;

export class ClusterRelays {
  /** Relay to the platform by region. */
  readonly platform = new Map<string, TcpRelay>();

  /** By the index of the entry. */
  readonly entries: TcpRelay[] = [];

  /** By the index of the agent. */
  readonly agents: TcpRelay[] = [];

  private readonly regions: string[];

  constructor(
    private readonly plan: ClusterPlan,
    private readonly onClose: (closer: () => Promise<void>) => void,
  ) {
    const locations = [...plan.entryLocations, ...plan.agentLocations];
    this.regions = [...new Set(locations.map(({ region }) => region))];
  }

  async startToPlatform(platformAddress: string): Promise<void> {
    const regions = this.plan.withPlatformRelays ? this.regions : [];
    for (const region of regions) {
      this.platform.set(region, await this.startRelay(platformAddress));
    }
  }

  async startToProcesses(entryAddresses: string[], agentAddresses: string[]): Promise<void> {
    const { withEntryRelays, withAgentRelays } = this.plan;
    for (const address of withEntryRelays ? entryAddresses : []) {
      this.entries.push(await this.startRelay(address));
    }
    for (const address of withAgentRelays ? agentAddresses : []) {
      this.agents.push(await this.startRelay(address));
    }
  }

  /** Environment of a process, so that relays know its region. */
  environmentIn(region: string): Record<string, string> {
    if (!this.plan.withEntryRelays && !this.plan.withAgentRelays) {
      return {};
    }
    return {
      NODE_OPTIONS: `--import=${PRELOAD}`,
      [SOURCE_ADDRESS_VARIABLE]: this.sourceAddressOf(region),
    };
  }

  /**
   * Cuts a region off from the other regions and from the platform, as far as there are relays: bytes vanish
   * and nothing closes. Calls within a region go on.
   */
  cutRegion(region: string): void {
    this.platform.get(region)?.silenceAll();
    const others = this.regions.filter((other) => other !== region);
    for (const [relay, ownRegion] of this.processRelays()) {
      const cutOff = ownRegion === region ? others : [region];
      cutOff.forEach((other) => relay.silenceFrom(this.sourceAddressOf(other)));
    }
  }

  /** Ends all cuts. Connections that were open during a cut stay silent; new ones work. */
  restoreRegions(): void {
    this.platform.forEach((relay) => relay.restore());
    this.processRelays().forEach(([relay]) => relay.restore());
  }

  private processRelays(): [TcpRelay, string][] {
    const { entryLocations, agentLocations } = this.plan;
    const regionsOf = (relays: TcpRelay[], locations: typeof entryLocations) =>
      relays.map<[TcpRelay, string]>((relay, index) => [
        relay,
        locationOf(locations, index).region,
      ]);
    return [...regionsOf(this.entries, entryLocations), ...regionsOf(this.agents, agentLocations)];
  }

  private sourceAddressOf(region: string): string {
    return `127.0.1.${this.regions.indexOf(region) + 1}`;
  }

  private async startRelay(targetAddress: string): Promise<TcpRelay> {
    const relay = new TcpRelay({ targetAddress, seed: this.plan.seed });
    this.onClose(() => relay.close());
    await relay.listen();
    return relay;
  }
}
