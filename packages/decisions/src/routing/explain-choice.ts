/**
 * Why the other candidates were not chosen, for the decision record of a request.
 */
import type { RejectedAlternative } from '@figjunction/types';
import { Distance, distanceOf } from './choose-target.js';
import type { RoutingCandidate, RoutingQuestion } from './choose-target.js';

/** Records list this many alternatives at most. */
const ALTERNATIVES_MAXIMUM = 8;

export function explainRejected(
  question: RoutingQuestion,
  chosen: RoutingCandidate,
): RejectedAlternative[] {
  return question.candidates
    .filter((candidate) => candidate !== chosen)
    .slice(0, ALTERNATIVES_MAXIMUM)
    .map((candidate) => ({
      option: `${candidate.taskId} on ${candidate.agentId}`,
      reason: reasonAgainst(question, candidate, chosen),
    }));
}

function reasonAgainst(
  question: RoutingQuestion,
  candidate: RoutingCandidate,
  chosen: RoutingCandidate,
): string {
  const distance = distanceOf(question.from, candidate.location);
  if (candidate.weight <= 0) {
    return 'ejected as an outlier';
  }
  if (distance === Distance.OtherRegion && !question.otherRegionAllowed) {
    return 'in another region, which the deadline or the cap on bytes rules out';
  }
  if (candidate.outstanding >= candidate.slots) {
    return 'all slots are in use';
  }
  if (distance > distanceOf(question.from, chosen.location)) {
    return 'farther away';
  }
  return 'not drawn, or more loaded than the one drawn with it';
}
