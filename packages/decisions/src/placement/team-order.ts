/**
 * The order in which tasks are considered: urgent classes first; within a class the team that has least
 * for its weight; within a team the order of submission. A team at its quota drops out without holding
 * up the others.
 */
import type { TeamName } from '@figjunction/types';
import type { PlacementTask, PlacementTeam } from './placement-types.js';

/** Instances of services belong to no team and are bounded by the configuration itself. */
const NO_TEAM: TeamName = '';

interface TeamDraft {
  team: PlacementTeam | null;
  runningTasks: number;
  processorMillicores: number;
}

export class TeamLedger {
  private readonly drafts = new Map<TeamName, TeamDraft>();

  constructor(teams: PlacementTeam[]) {
    for (const team of teams) {
      const { runningTasks, processorMillicores } = team;
      this.drafts.set(team.name, { team, runningTasks, processorMillicores });
    }
  }

  /** Why the team may not run the task now; null when it may. */
  refusal(task: PlacementTask): string | null {
    if (task.team === NO_TEAM) {
      return null;
    }
    const draft = this.drafts.get(task.team);
    if (draft?.team === undefined || draft.team === null) {
      return 'its team is not in the configuration';
    }
    if (draft.runningTasks >= draft.team.runningTasksMaximum) {
      return 'the team runs as many tasks as its quota allows';
    }
    const after = draft.processorMillicores + task.size.processorMillicores;
    return after > draft.team.processorMillicoresMaximum
      ? 'the team would use more processors than its quota allows'
      : null;
  }

  charge(task: PlacementTask): void {
    const draft = this.drafts.get(task.team);
    if (draft !== undefined) {
      draft.runningTasks += 1;
      draft.processorMillicores += task.size.processorMillicores;
    }
  }

  /** What the team has relative to its weight; the lowest comes first. */
  standing(team: TeamName): number {
    const draft = this.drafts.get(team);
    if (draft?.team === undefined || draft.team === null) {
      return Number.NEGATIVE_INFINITY;
    }
    return draft.processorMillicores / draft.team.weight;
  }
}

/** Tasks of one class by team, each team's in the order of submission. */
export interface ClassQueue {
  urgencyRank: number;
  queues: Map<TeamName, PlacementTask[]>;
}

export function groupByClass(tasks: PlacementTask[]): ClassQueue[] {
  const classes = new Map<number, ClassQueue>();
  const sorted = [...tasks].sort((left, right) => left.order - right.order);
  for (const task of sorted) {
    let group = classes.get(task.urgencyRank);
    if (group === undefined) {
      group = { urgencyRank: task.urgencyRank, queues: new Map() };
      classes.set(task.urgencyRank, group);
    }
    const queue = group.queues.get(task.team);
    if (queue === undefined) {
      group.queues.set(task.team, [task]);
    } else {
      queue.push(task);
    }
  }
  return [...classes.values()].sort((left, right) => left.urgencyRank - right.urgencyRank);
}

/** The team of a class that has least for its weight; null when no task is left. */
export function nextTeam(group: ClassQueue, ledger: TeamLedger): TeamName | null {
  let best: TeamName | null = null;
  let bestStanding = Number.POSITIVE_INFINITY;
  for (const team of group.queues.keys()) {
    const standing = ledger.standing(team);
    if (best === null || standing < bestStanding) {
      best = team;
      bestStanding = standing;
    }
  }
  return best;
}
