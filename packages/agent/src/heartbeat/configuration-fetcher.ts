/**
 * Follows the configuration revision that entries state in their responses, and fetches this agent's slice of
 * a newer one.
 */
import type { Instant } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { ConfigurationRevision, HeartbeatResult } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

const FETCH_TIMEOUT_MS = 2_000;

export class ConfigurationFetcher {
  /** The highest revision that any entry has stated. */
  private highestRevision: ConfigurationRevision = 0;

  /** The fetch in progress; concurrent responses share it. */
  private fetching: Promise<void> | null = null;

  constructor(private readonly context: AgentContext) {}

  /** Handles the response to a heartbeat sent at `sentAt`. Rejects if the slice cannot be fetched. */
  async handleResult(address: string, result: HeartbeatResult, sentAt: Instant): Promise<void> {
    const { configuration } = this.context;
    this.highestRevision = Math.max(this.highestRevision, result.revision);
    if (result.revision > configuration.revision()) {
      this.fetching ??= this.fetch(address, result.revision).finally(() => {
        this.fetching = null;
      });
      await this.fetching;
    }
    // An entry with an older revision may still have it confirmed for a few seconds, but an agent that knows
    // of a newer revision must not start work under the older one.
    const isNewest = configuration.revision() === this.highestRevision;
    if (result.confirmedForMs > 0 && isNewest && result.revision === this.highestRevision) {
      configuration.confirm(sentAt, result.confirmedForMs);
    }
  }

  private async fetch(address: string, revision: ConfigurationRevision): Promise<void> {
    const { rpc, configuration, logger } = this.context;
    const response = await rpc.call(
      address,
      RpcMethod.ConfigurationGet,
      { revision, slice: true },
      { timeoutMs: FETCH_TIMEOUT_MS },
    );
    if (response.slice !== null && configuration.accept(response.slice)) {
      this.context.waitingFor.delete('configuration');
      this.context.isHeartbeatDue = true;
      logger.info({ revision: response.slice.revision }, 'configuration activated');
    }
  }
}
