/**
 * Chooses the instance for one attempt: the nearest instances with room first, and among those the better
 * of two random choices. Two choices avoid that all entries pick the same apparently idle instance.
 */
import type { RandomSource } from '@figjunction/time';
import type { AgentId, Location, TaskId } from '@figjunction/types';

/** How far an instance is from the entry. */
export enum Distance {
  SameDataCentre = 0,
  SameRegion = 1,
  OtherRegion = 2,
}

export interface RoutingCandidate {
  agentId: AgentId;
  taskId: TaskId;
  location: Location;
  slots: number;
  /** Attempts in use as far as this entry knows: its own, or more if the agent said so lately. */
  outstanding: number;
  /** Recent latency seen by this entry; null before the first answer. */
  latencyMs: number | null;
  /** 1 for a healthy instance, 0 for an ejected one, between for one that returns. */
  weight: number;
}

export interface RoutingQuestion {
  from: Location;
  candidates: RoutingCandidate[];
  /** False when the other region cannot answer in time or the link's cap is used up. */
  otherRegionAllowed: boolean;
}

export function distanceOf(from: Location, to: Location): Distance {
  if (from.region !== to.region) {
    return Distance.OtherRegion;
  }
  return from.dataCentre === to.dataCentre ? Distance.SameDataCentre : Distance.SameRegion;
}

/** Nearest first with two choices; null when there is no candidate that may be used. */
export function chooseTarget(
  question: RoutingQuestion,
  random: RandomSource,
): RoutingCandidate | null {
  const usable = usableCandidates(question);
  const withRoom = usable.filter((candidate) => candidate.outstanding < candidate.slots);
  const pool = nearest(question.from, withRoom.length > 0 ? withRoom : usable);
  const first = drawByWeight(pool, random);
  if (first === null) {
    return null;
  }
  const second = drawByWeight(
    pool.filter((candidate) => candidate !== first),
    random,
  );
  return second !== null && loadOf(second) < loadOf(first) ? second : first;
}

/** The baseline: fewest outstanding attempts, wherever the instance is. */
export function chooseLeastConnections(candidates: RoutingCandidate[]): RoutingCandidate | null {
  return candidates.reduce<RoutingCandidate | null>(
    (best, candidate) =>
      best === null || candidate.outstanding < best.outstanding ? candidate : best,
    null,
  );
}

function usableCandidates(question: RoutingQuestion): RoutingCandidate[] {
  return question.candidates.filter(
    (candidate) =>
      candidate.weight > 0 &&
      (question.otherRegionAllowed ||
        distanceOf(question.from, candidate.location) !== Distance.OtherRegion),
  );
}

function nearest(from: Location, candidates: RoutingCandidate[]): RoutingCandidate[] {
  const distances = candidates.map(({ location }): number => distanceOf(from, location));
  const least = Math.min(...distances);
  return candidates.filter((_candidate, index) => distances[index] === least);
}

function drawByWeight(
  candidates: RoutingCandidate[],
  random: RandomSource,
): RoutingCandidate | null {
  const total = candidates.reduce((sum, candidate) => sum + candidate.weight, 0);
  let point = random.fraction() * total;
  for (const candidate of candidates) {
    point -= candidate.weight;
    if (point < 0) {
      return candidate;
    }
  }
  return candidates[candidates.length - 1] ?? null;
}

/** Expected time to an answer: recent latency, stretched by the share of slots in use. */
function loadOf(candidate: RoutingCandidate): number {
  const busy = (candidate.outstanding + 1) / candidate.slots;
  return busy * (candidate.latencyMs ?? 1);
}
