/**
 * Refusals of agents. An agent counts more than the free room it announces, for example tasks whose size
 * is not known yet, so a refused kind is not offered to it again at once, unless its heartbeat shows a
 * change of what it holds.
 */
import type { Instant } from '@figjunction/time';
import type { AgentId, KindName } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';

const FIRST_DELAY_MS = 250;
const LAST_DELAY_MS = 2_000;

interface Refusal {
  delayMs: number;
  retryAt: Instant;
  /** What the agent held when it refused. */
  held: string;
}

export class RefusalMemory {
  private readonly refusals = new Map<AgentId, Map<KindName, Refusal>>();

  noteRefusal(agent: KnownAgent, kind: KindName, now: Instant): void {
    const { agentId } = agent;
    const held = heldBy(agent);
    const kinds = this.refusals.get(agentId) ?? new Map<KindName, Refusal>();
    this.refusals.set(agentId, kinds);
    const known = kinds.get(kind);
    if (known?.held === held && now < known.retryAt) {
      // Refusals of one call count once.
      return;
    }
    const delayMs =
      known?.held === held ? Math.min(known.delayMs * 2, LAST_DELAY_MS) : FIRST_DELAY_MS;
    kinds.set(kind, { delayMs, retryAt: now + delayMs, held });
  }

  noteAdmission(agentId: AgentId, kind: KindName): void {
    this.refusals.get(agentId)?.delete(kind);
  }

  /** Kinds that are not offered to the agent now. */
  refusedKinds(agent: KnownAgent, now: Instant): KindName[] {
    const held = heldBy(agent);
    const kinds = [...(this.refusals.get(agent.agentId) ?? [])];
    return kinds
      .filter(([, refusal]) => refusal.held === held && now < refusal.retryAt)
      .map(([kind]) => kind);
  }

  forgetAbsent(isPresent: (agentId: AgentId) => boolean): void {
    for (const agentId of this.refusals.keys()) {
      if (!isPresent(agentId)) {
        this.refusals.delete(agentId);
      }
    }
  }
}

function heldBy({ incarnation, tasks, free }: KnownAgent): string {
  return [incarnation, tasks.length, free.processorMillicores, free.memoryMegabytes].join('/');
}
