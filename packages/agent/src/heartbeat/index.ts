/**
 * Announces the agent to the entries and learns the configuration revision from them.
 */
import { toError } from '@figjunction/errors';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { AgentState } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { AgentContext } from '../agent-context.js';
import { Announcer } from './heartbeat-broadcaster.js';
import { EntryFinder } from './entry-discovery.js';
import { SliceFetcher } from './configuration-fetcher.js';

const HEARTBEAT_INTERVAL_MS = 1_000;

/** How often the loop looks whether a heartbeat is due at once. */
const CHECK_INTERVAL_MS = 50;

/** The table is read for entries only while none answers. */
const TABLE_READ_INTERVAL_MS = 2_000;

/** At a planned stop, the announcement waits this long for slow entries. */
const LAST_ANNOUNCEMENT_MS = 1_000;

const WAITING_FOR_ENTRY = 'entry';

export function createHeartbeatModule(context: AgentContext): DaemonModule {
  const finder = new EntryFinder(context);
  const announcer = new Announcer(context, finder, new SliceFetcher(context));
  let nextHeartbeat: Instant = Number.NEGATIVE_INFINITY;
  context.waitingFor.add(WAITING_FOR_ENTRY);
  context.waitingFor.add('configuration');
  finder.refresh(context.clock.now());

  function announceWhenDue(now: Instant): void {
    if (!context.heartbeatDue && now < nextHeartbeat) {
      return;
    }
    context.heartbeatDue = false;
    nextHeartbeat = now + HEARTBEAT_INTERVAL_MS;
    announcer.announce().catch((error: unknown) => {
      context.logger.debug({ error: toError(error).message }, 'announcement failed');
    });
  }

  function lookForEntries(now: Instant): void {
    finder.refresh(now);
    if (finder.hasAnswer(now)) {
      context.waitingFor.delete(WAITING_FOR_ENTRY);
      return;
    }
    context.waitingFor.add(WAITING_FOR_ENTRY);
    finder.readTable().catch((error: unknown) => {
      context.logger.debug({ error: toError(error).message }, 'entries could not be read');
    });
  }

  return {
    systems: [
      { name: 'find-entries', intervalMs: TABLE_READ_INTERVAL_MS, run: lookForEntries },
      { name: 'heartbeat', intervalMs: CHECK_INTERVAL_MS, run: announceWhenDue },
    ],
    async stop(): Promise<void> {
      context.state = AgentState.Leaving;
      await Promise.race([announcer.announce(), sleep(LAST_ANNOUNCEMENT_MS)]);
    },
  };
}
