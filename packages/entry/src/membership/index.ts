/**
 * Membership: agent heartbeats, the list of live entries, digests between entries, and the current
 * configuration.
 */
import {
  AgentState,
  DecisionKind,
  ExplainSubject,
  HeartbeatReception,
  RpcMethod,
} from '@figjunction/types';
import type {
  EntryDigestParameters,
  EntryDigestResult,
  HeartbeatParameters,
  HeartbeatResult,
  KnownEntry,
} from '@figjunction/types';
import { SingleFlight } from '@figjunction/time';
import type { TickSystem } from '@figjunction/time';
import type { DaemonModule } from '@figjunction/runtime';
import { AGENT_HEARTBEAT_TIMEOUT_MS } from '../agent-directory.js';
import type { KnownAgent } from '../agent-directory.js';
import type { EntryContext } from '../entry-context.js';
import { ConfigurationFollower } from './configuration-follower.js';
import { EntryList } from './entry-list.js';
import { EntryListVersion } from './entry-list-version.js';

const DROP_INTERVAL_MS = 250;
const POLL_INTERVAL_MS = 1_000;
const DIGEST_INTERVAL_MS = 1_000;
const ENTRY_ROW_INTERVAL_MS = 2_000;
const DIGEST_TIMEOUT_MS = 800;
const WITHDRAW_TIMEOUT_MS = 1_000;

export function createMembershipModule(context: EntryContext): DaemonModule {
  const follower = new ConfigurationFollower(context);
  const entryList = new EntryList(context);
  const listVersion = new EntryListVersion();
  return {
    rpcHandlers: {
      [RpcMethod.AgentHeartbeat]: (heartbeat) => acceptHeartbeat(context, listVersion, heartbeat),
      [RpcMethod.ConfigurationGet]: (parameters) => follower.handleGet(parameters),
      [RpcMethod.EntryDigest]: (digest) => acceptDigest(context, follower, entryList, digest),
    },
    systems: createSystems(context, follower, entryList),
    async start(): Promise<void> {
      await follower.poll().catch(() => {});
      await entryList.refresh().catch(() => {});
      entryList.publish(context.clock.now());
    },
    async stop(): Promise<void> {
      const timeout = new Promise<void>((resolve) => {
        setTimeout(resolve, WITHDRAW_TIMEOUT_MS).unref();
      });
      await Promise.race([entryList.withdraw().catch(() => {}), timeout]);
    },
  };
}

function createSystems(
  context: EntryContext,
  follower: ConfigurationFollower,
  entryList: EntryList,
): TickSystem[] {
  const poll = new SingleFlight({ run: () => follower.poll() });
  const refresh = new SingleFlight({ run: () => entryList.refresh() });
  return [
    system('drop silent agents', DROP_INTERVAL_MS, () => dropUnreachableAgents(context)),
    system('poll configuration', POLL_INTERVAL_MS, () => poll.start()),
    system('refresh entries', ENTRY_ROW_INTERVAL_MS, () => refresh.start()),
    system('publish entries', DROP_INTERVAL_MS, () => entryList.publish(context.clock.now())),
    system('send digests', DIGEST_INTERVAL_MS, () => sendDigests(context, follower, entryList)),
  ];
}

/** Creates a system whose work may take longer than a tick; the loop does not wait for it. */
function system(name: string, intervalMs: number, start: () => unknown): TickSystem {
  return {
    name,
    intervalMs,
    run: () => {
      start();
    },
  };
}

function acceptHeartbeat(
  context: EntryContext,
  listVersion: EntryListVersion,
  heartbeat: HeartbeatParameters,
): HeartbeatResult {
  const { agents, clock, configuration, metrics, peers, settings } = context;
  const now = clock.now();
  const known = agents.get(heartbeat.agentId);
  const reception = agents.receive(heartbeat, now);
  if (reception === HeartbeatReception.Taken) {
    logAnnouncement(context, known, heartbeat);
  } else if (reception === HeartbeatReception.NeedsFull) {
    metrics.count('full_heartbeats_requested_total');
  }
  const list = listVersion.updateFor(peers.live(), heartbeat.entriesVersion);
  return {
    entryId: settings.entryId,
    reception,
    revision: configuration.revision(),
    confirmedForMs: configuration.confirmedForMs(now),
    ...(list === null ? {} : { list }),
  };
}

function logAnnouncement(
  context: EntryContext,
  known: KnownAgent | undefined,
  heartbeat: HeartbeatParameters,
): void {
  const { agentId, incarnation, state } = heartbeat;
  if (known?.state !== state || known.incarnation !== incarnation) {
    context.logger.info({ agentId, incarnation, state }, 'agent announced itself');
  }
}

function dropUnreachableAgents(context: EntryContext): void {
  const { agents, clock, configuration, decisions, logger, metrics, settings } = context;
  for (const agent of agents.dropUnreachable(clock.now())) {
    metrics.count('agents_dropped_total');
    logger.warn({ agentId: agent.agentId, incarnation: agent.incarnation }, 'silent agent dropped');
    decisions.add({
      subject: ExplainSubject.Vm,
      subjectId: agent.agentId,
      kind: DecisionKind.Eject,
      decidedAt: new Date(clock.wallTimeMs()).toISOString(),
      decidedBy: settings.entryId,
      configurationRevision: configuration.revision(),
      decision: 'gets no new work from this entry: no heartbeat arrived in time',
      inputs: [
        { name: 'boundMs', value: AGENT_HEARTBEAT_TIMEOUT_MS },
        { name: 'wasLeaving', value: agent.state === AgentState.Leaving },
      ],
      rejected: [],
      team: null,
    });
  }
}

async function acceptDigest(
  context: EntryContext,
  follower: ConfigurationFollower,
  entryList: EntryList,
  digest: EntryDigestParameters,
): Promise<EntryDigestResult> {
  const { entryId, incarnation, address, location, revision } = digest;
  entryList.recordDigest({ entryId, incarnation, address, location, revision });
  context.teamDemand.setPeerDemand(entryId, digest.demand);
  follower.followPeer(address, revision).catch(() => {});
  return {
    entryId: context.settings.entryId,
    incarnation: context.incarnation,
    revision: context.configuration.revision(),
  };
}

function sendDigests(
  context: EntryContext,
  follower: ConfigurationFollower,
  entryList: EntryList,
): void {
  const digest: EntryDigestParameters = {
    ...context.peers.own(),
    incarnation: context.incarnation,
    revision: context.configuration.revision(),
    demand: context.teamDemand.demandPerSecond(),
  };
  for (const peer of context.peers.others()) {
    sendDigest(context, follower, entryList, peer, digest).catch(() => {
      context.metrics.count('digest_failures_total');
    });
  }
}

async function sendDigest(
  context: EntryContext,
  follower: ConfigurationFollower,
  entryList: EntryList,
  peer: KnownEntry,
  digest: EntryDigestParameters,
): Promise<void> {
  const options = { timeoutMs: DIGEST_TIMEOUT_MS };
  const response = await context.rpc.call(peer.address, RpcMethod.EntryDigest, digest, options);
  entryList.recordResponse(response.entryId);
  await follower.followPeer(peer.address, response.revision);
}
