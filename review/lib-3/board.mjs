/**
 * What the stand-ins know together: the work of each submitted task, the gangs, and the record of all that was
 * sent, answered and run.
 */
import { appendFileSync, writeFileSync } from 'node:fs';

export class Board {
  constructor(recordFile) {
    this.recordFile = recordFile;
    this.startedAt = Date.now();
    this.jobs = new Map();
    this.runs = [];
    this.gangs = new Map();
    this.checkpoints = new Map();
    writeFileSync(recordFile, '');
  }

  log(what, details = {}) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${seconds} ${what} ${JSON.stringify(details)}\n`);
  }

  /** `plans` describes the tasks of each step: workMs, cpu, saves, gang, lasts, failsAt. */
  addJob(id, { body, plans }) {
    this.jobs.set(id, { body, plans, cancelled: false });
  }

  planOf(task) {
    const [id, , step] = task.split('.');
    return this.jobs.get(id)?.plans[Number(step)];
  }

  open({ vm, id, order }) {
    const record = { vm, id, startedAt: Date.now(), endedAt: null, how: null, ...order };
    this.runs.push(record);
    const { task, run, spec, checkpoint = '' } = order;
    this.log('run begins', { vm, task, run, checkpoint });
    if (spec !== this.jobs.get(task.split('.')[0])?.body.spec) {
      record.isForeign = true;
    }
    if (checkpoint !== '' && this.checkpoints.get(checkpoint)?.owner !== this.ownerOf(task)) {
      record.hasForeignCheckpoint = true;
    }
    return record;
  }

  close(record, how) {
    const target = record.record ?? record;
    if (target.endedAt === null) {
      target.endedAt = Date.now();
      target.how = how;
      this.log('run ends', { vm: target.vm, task: target.task, run: target.run, how });
    }
  }

  /** Checkpoints of a gang are shared by its members. */
  ownerOf(task) {
    const [id, occurrence, step] = task.split('.');
    return this.planOf(task)?.gang ? `${id}.${occurrence}.${step}` : task;
  }

  makeCheckpoint({ task, done }) {
    const value = `${Math.floor(done).toString(16).padStart(8, '0')}${task.slice(0, 8)}${this.checkpoints.size}`;
    this.checkpoints.set(value, { owner: this.ownerOf(task), done });
    return value;
  }

  workIn(checkpoint) {
    return this.checkpoints.get(checkpoint)?.done ?? 0;
  }

  joinGang(entry) {
    const key = `${this.ownerOf(entry.task)}#${entry.run}`;
    const size = this.jobs.get(entry.task.split('.')[0]).body.steps[
      Number(entry.task.split('.')[2])
    ].count;
    const gang = this.gangs.get(key) ?? { members: new Set(), isComplete: false };
    gang.members.add(entry);
    gang.isComplete ||= gang.members.size === size;
    entry.gang = gang;
    this.gangs.set(key, gang);
  }

  leaveGang(entry, how) {
    const { gang } = entry;
    gang.members.delete(entry);
    if (how === 'done') {
      gang.members.forEach((other) => {
        other.done = other.plan.workMs;
      });
    } else if (gang.isComplete) {
      gang.members.forEach((other) => {
        other.broken = true;
      });
    }
  }
}
