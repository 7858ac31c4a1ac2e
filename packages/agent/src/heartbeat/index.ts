/**
 * The module that sends heartbeats to the entries and follows the configuration revision in their responses.
 */
import { toError } from '@figjunction/errors';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { AgentState } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { AgentContext } from '../agent-context.js';
import { HeartbeatBroadcaster } from './heartbeat-broadcaster.js';
import { EntryDiscovery } from './entry-discovery.js';
import { ConfigurationFetcher } from './configuration-fetcher.js';

const HEARTBEAT_INTERVAL_MS = 1_000;

/** How often the loop checks whether a heartbeat is due. */
const CHECK_INTERVAL_MS = 50;

/** How often the table is read for entries while no entry responds. */
const TABLE_READ_INTERVAL_MS = 2_000;

/** How long a planned stop waits for entries to respond to the last heartbeat. */
const FINAL_BROADCAST_TIMEOUT_MS = 1_000;

const WAITING_FOR_ENTRY = 'entry';

export function createHeartbeatModule(context: AgentContext): DaemonModule {
  const discovery = new EntryDiscovery(context);
  const broadcaster = new HeartbeatBroadcaster(
    context,
    discovery,
    new ConfigurationFetcher(context),
  );
  let nextHeartbeat: Instant = Number.NEGATIVE_INFINITY;
  context.waitingFor.add(WAITING_FOR_ENTRY);
  context.waitingFor.add('configuration');
  discovery.refresh(context.clock.now());

  function broadcastWhenDue(now: Instant): void {
    if (!context.isHeartbeatDue && now < nextHeartbeat) {
      return;
    }
    context.isHeartbeatDue = false;
    nextHeartbeat = now + HEARTBEAT_INTERVAL_MS;
    broadcaster.broadcast().catch((error: unknown) => {
      context.logger.debug({ error: toError(error).message }, 'sending heartbeats failed');
    });
  }

  function discoverEntries(now: Instant): void {
    discovery.refresh(now);
    if (discovery.hasRecentResponse(now)) {
      context.waitingFor.delete(WAITING_FOR_ENTRY);
      return;
    }
    context.waitingFor.add(WAITING_FOR_ENTRY);
    discovery.readTable().catch((error: unknown) => {
      context.logger.debug(
        { error: toError(error).message },
        'reading the entries from the table failed',
      );
    });
  }

  return {
    systems: [
      { name: 'find-entries', intervalMs: TABLE_READ_INTERVAL_MS, run: discoverEntries },
      { name: 'heartbeat', intervalMs: CHECK_INTERVAL_MS, run: broadcastWhenDue },
    ],
    async stop(): Promise<void> {
      context.state = AgentState.Leaving;
      await Promise.race([broadcaster.broadcast(), sleep(FINAL_BROADCAST_TIMEOUT_MS)]);
    },
  };
}
