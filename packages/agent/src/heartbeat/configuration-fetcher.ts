/**
 * Follows the configuration revision that entries name in their answers, and fetches this agent's
 * slice of it.
 */
import type { Instant } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { ConfigurationRevision, HeartbeatResult } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

const FETCH_TIMEOUT_MS = 2_000;

export class SliceFetcher {
  /** The highest revision that any entry named. */
  private highestSeen: ConfigurationRevision = 0;

  private fetching: Promise<void> | null = null;

  constructor(private readonly context: AgentContext) {}

  /** Takes what an entry answered to a heartbeat that was sent at `sentAt`. */
  async learn(address: string, result: HeartbeatResult, sentAt: Instant): Promise<void> {
    const { configuration } = this.context;
    this.highestSeen = Math.max(this.highestSeen, result.revision);
    if (result.revision > configuration.revision()) {
      this.fetching ??= this.fetch(address, result.revision).finally(() => {
        this.fetching = null;
      });
      await this.fetching;
    }
    // An entry with an older revision may still count as confirmed for a few seconds, but an agent
    // that knows of a newer one must not start work under the older.
    const isNewest = configuration.revision() === this.highestSeen;
    if (result.confirmedForMs > 0 && isNewest && result.revision === this.highestSeen) {
      configuration.confirm(sentAt, result.confirmedForMs);
    }
  }

  private async fetch(address: string, revision: ConfigurationRevision): Promise<void> {
    const { rpc, configuration, logger } = this.context;
    const answer = await rpc.call(
      address,
      RpcMethod.ConfigurationGet,
      { revision, slice: true },
      { timeoutMs: FETCH_TIMEOUT_MS },
    );
    if (answer.slice !== null && configuration.accept(answer.slice)) {
      this.context.waitingFor.delete('configuration');
      this.context.heartbeatDue = true;
      logger.info({ revision: answer.slice.revision }, 'configuration in force');
    }
  }
}
