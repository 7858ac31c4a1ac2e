/**
 * Explains why the other candidates were not chosen, for the decision record of a request.
 */
import type { RejectedAlternative } from '@figjunction/types';
import { Distance, getDistance } from './choose-target.js';
import type { RoutingCandidate, RoutingInputs } from './choose-target.js';

/** Limit of rejected candidates in a decision record. */
const REJECTED_MAXIMUM = 8;

export function explainRejected(
  inputs: RoutingInputs,
  chosen: RoutingCandidate,
): RejectedAlternative[] {
  return inputs.candidates
    .filter((candidate) => candidate !== chosen)
    .slice(0, REJECTED_MAXIMUM)
    .map((candidate) => ({
      option: `${candidate.taskId} on ${candidate.agentId}`,
      reason: findRejectionReason(inputs, candidate, chosen),
    }));
}

function findRejectionReason(
  inputs: RoutingInputs,
  candidate: RoutingCandidate,
  chosen: RoutingCandidate,
): string {
  const distance = getDistance(inputs.from, candidate.location);
  if (candidate.weight <= 0) {
    return 'ejected as an outlier';
  }
  if (distance === Distance.OtherRegion && !inputs.otherRegionAllowed) {
    return 'in another region, excluded by the deadline or the inter-region byte limit';
  }
  if (candidate.outstanding >= candidate.slots) {
    return 'all slots are in use';
  }
  if (distance > getDistance(inputs.from, chosen.location)) {
    return 'farther away';
  }
  return 'not drawn at random, or more loaded than the chosen candidate';
}
