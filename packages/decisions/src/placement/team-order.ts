/**
 * Orders tasks by weighted fair sharing: the most urgent class first, within a class the team with the
 * lowest usage relative to its weight, within a team by submission. A team at its quota does not block others.
 */
import type { TeamName } from '@figjunction/types';
import type { PlacementTask, PlacementTeam } from './placement-types.js';

/** Service instances belong to no team; the configuration limits their number directly. */
const NO_TEAM: TeamName = '';

interface TeamUsage {
  team: PlacementTeam | null;
  runningTasks: number;
  processorMillicores: number;
}

/** Usage of each team, including the placements planned in this tick, compared with its quota. */
export class TeamUsageTracker {
  private readonly usages = new Map<TeamName, TeamUsage>();

  constructor(teams: PlacementTeam[]) {
    for (const team of teams) {
      const { runningTasks, processorMillicores } = team;
      this.usages.set(team.name, { team, runningTasks, processorMillicores });
    }
  }

  /** Returns why the team may not run the task now, or null if it may. */
  findRefusal(task: PlacementTask): string | null {
    if (task.team === NO_TEAM) {
      return null;
    }
    const usage = this.usages.get(task.team);
    if (usage?.team === undefined || usage.team === null) {
      return 'its team is not in the configuration';
    }
    if (usage.runningTasks >= usage.team.runningTasksMaximum) {
      return 'the team has reached its quota of running tasks';
    }
    const after = usage.processorMillicores + task.size.processorMillicores;
    return after > usage.team.processorMillicoresMaximum
      ? 'the task would exceed the processor quota of its team'
      : null;
  }

  add(task: PlacementTask): void {
    const usage = this.usages.get(task.team);
    if (usage !== undefined) {
      usage.runningTasks += 1;
      usage.processorMillicores += task.size.processorMillicores;
    }
  }

  /** Returns millicores in use per unit of weight; negative infinity for an unknown team or none. */
  getWeightedUsage(team: TeamName): number {
    const usage = this.usages.get(team);
    if (usage?.team === undefined || usage.team === null) {
      return Number.NEGATIVE_INFINITY;
    }
    return usage.processorMillicores / usage.team.weight;
  }
}

/** Tasks of one urgency class by team, each queue in submission order. */
export interface UrgencyClassQueues {
  urgencyRank: number;
  queues: Map<TeamName, PlacementTask[]>;
}

export function groupByUrgencyClass(tasks: PlacementTask[]): UrgencyClassQueues[] {
  const classes = new Map<number, UrgencyClassQueues>();
  const sorted = [...tasks].sort((left, right) => left.submissionOrder - right.submissionOrder);
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

/** Returns the team with the lowest weighted usage; null if no queue is left. */
export function selectNextTeam(
  group: UrgencyClassQueues,
  teamUsage: TeamUsageTracker,
): TeamName | null {
  let selected: TeamName | null = null;
  let lowestUsage = Number.POSITIVE_INFINITY;
  for (const team of group.queues.keys()) {
    const usage = teamUsage.getWeightedUsage(team);
    if (selected === null || usage < lowestUsage) {
      selected = team;
      lowestUsage = usage;
    }
  }
  return selected;
}
