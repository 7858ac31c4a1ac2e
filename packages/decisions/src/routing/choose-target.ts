/**
 * Chooses the instance for one attempt: the nearest instances with free slots and, among those, the better
 * of two random choices. Always taking the best would make all entries pick the same apparently idle instance.
 */
import type { RandomSource } from '@figjunction/time';
import type { AgentId, Location, TaskId } from '@figjunction/types';

/** Network distance from the entry to an instance. */
export enum Distance {
  SameDataCentre = 0,
  SameRegion = 1,
  OtherRegion = 2,
}

export interface RoutingCandidate {
  agentId: AgentId;
  taskId: TaskId;
  location: Location;
  /** Maximum number of concurrent attempts. */
  slots: number;
  /** Attempts in progress: those of this entry, or the number recently reported by the agent if higher. */
  outstanding: number;
  /** Recent latency measured by this entry; null before the first response. */
  latencyMs: number | null;
  /** 1 for a healthy instance, 0 for an ejected one, in between during slow start after an ejection. */
  weight: number;
}

export interface RoutingInputs {
  /** Location of the entry. */
  from: Location;
  candidates: RoutingCandidate[];
  /** False if another region cannot respond before the deadline or the inter-region byte limit is used up. */
  otherRegionAllowed: boolean;
}

export function getDistance(from: Location, to: Location): Distance {
  if (from.region !== to.region) {
    return Distance.OtherRegion;
  }
  return from.dataCentre === to.dataCentre ? Distance.SameDataCentre : Distance.SameRegion;
}

/**
 * Chooses the better of two random candidates among the nearest ones with free slots, or among the nearest
 * ones if all slots are in use. Returns null if no candidate is usable.
 */
export function chooseTarget(inputs: RoutingInputs, random: RandomSource): RoutingCandidate | null {
  const usable = filterUsable(inputs);
  const withFreeSlots = usable.filter((candidate) => candidate.outstanding < candidate.slots);
  const eligible = filterNearest(inputs.from, withFreeSlots.length > 0 ? withFreeSlots : usable);
  const first = drawByWeight(eligible, random);
  if (first === null) {
    return null;
  }
  const second = drawByWeight(
    eligible.filter((candidate) => candidate !== first),
    random,
  );
  return second !== null && estimateResponseTime(second) < estimateResponseTime(first)
    ? second
    : first;
}

/** Least-connections baseline: the fewest outstanding attempts, regardless of distance. */
export function chooseLeastConnections(candidates: RoutingCandidate[]): RoutingCandidate | null {
  return candidates.reduce<RoutingCandidate | null>(
    (best, candidate) =>
      best === null || candidate.outstanding < best.outstanding ? candidate : best,
    null,
  );
}

function filterUsable(inputs: RoutingInputs): RoutingCandidate[] {
  return inputs.candidates.filter(
    (candidate) =>
      candidate.weight > 0 &&
      (inputs.otherRegionAllowed ||
        getDistance(inputs.from, candidate.location) !== Distance.OtherRegion),
  );
}

function filterNearest(from: Location, candidates: RoutingCandidate[]): RoutingCandidate[] {
  const distances = candidates.map(({ location }): number => getDistance(from, location));
  const minimum = Math.min(...distances);
  return candidates.filter((_candidate, index) => distances[index] === minimum);
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

/** Expected response time in milliseconds: recent latency (1 if unknown) scaled by slot utilisation. */
function estimateResponseTime(candidate: RoutingCandidate): number {
  const utilisation = (candidate.outstanding + 1) / candidate.slots;
  return utilisation * (candidate.latencyMs ?? 1);
}
