/**
 * Refusals of agents. An agent counts more than the free room it announces, for example tasks whose size
 * is not known yet, so a refused kind is not offered to it again at once.
 */
import type { Instant } from '@figjunction/time';
import type { AgentId, KindName } from '@figjunction/types';

const FIRST_DELAY_MS = 250;
const LAST_DELAY_MS = 2_000;

interface Refusal {
  delayMs: number;
  retryAt: Instant;
}

export class RefusalMemory {
  private readonly refusals = new Map<AgentId, Map<KindName, Refusal>>();

  noteRefusal(agentId: AgentId, kind: KindName, now: Instant): void {
    const kinds = this.refusals.get(agentId) ?? new Map<KindName, Refusal>();
    this.refusals.set(agentId, kinds);
    const known = kinds.get(kind);
    if (known !== undefined && now < known.retryAt) {
      // Refusals of one call count once.
      return;
    }
    const delayMs = Math.min((known?.delayMs ?? FIRST_DELAY_MS / 2) * 2, LAST_DELAY_MS);
    kinds.set(kind, { delayMs, retryAt: now + delayMs });
  }

  noteAdmission(agentId: AgentId, kind: KindName): void {
    this.refusals.get(agentId)?.delete(kind);
  }

  /** Kinds that are not offered to the agent now. */
  refusedKinds(agentId: AgentId, now: Instant): KindName[] {
    const kinds = [...(this.refusals.get(agentId) ?? [])];
    return kinds.filter(([, { retryAt }]) => now < retryAt).map(([kind]) => kind);
  }

  forgetAbsent(isPresent: (agentId: AgentId) => boolean): void {
    for (const agentId of this.refusals.keys()) {
      if (!isPresent(agentId)) {
        this.refusals.delete(agentId);
      }
    }
  }
}
