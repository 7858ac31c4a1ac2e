/**
 * Guards against tasks of cancelled jobs that start because an answer of the store that arrives late counts as new.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import type { WatchParameters, WatchResult } from '@figjunction/store';
import { ManualClock } from '@figjunction/time';
import { CancellationFreshness } from './cancellation-freshness.js';
import { CellCollection, jobPartition } from './cell-collections.js';
import type { CollectionWatch } from './collection-watch.js';
import { createJobWatches } from './job-watches.js';
import { MemoryFeedStore } from './memory-feed-store.js';

const JOB_ID = '00000000000000a1';
/** A poll that asks for an answer at once may take this long without counting as failed. */
const ANSWER_MS = 900;
/** A cancellation has to take effect within this time. */
const CANCEL_MS = 3_000;

/** Answers take a while to arrive; a job is cancelled as soon as the first one has been sent. */
class SlowAnswersStore extends MemoryFeedStore {
  onAnswerSent: () => Promise<void> = () => Promise.resolve();

  constructor(private readonly manualClock: ManualClock) {
    super(manualClock);
  }

  override async watch(parameters: WatchParameters): Promise<WatchResult> {
    const answer = await super.watch(parameters);
    await this.onAnswerSent();
    this.manualClock.advance(ANSWER_MS);
    return answer;
  }
}

test('counts the age of the cancellations from when the store answered', async () => {
  const clock = new ManualClock(1_000);
  const store = new SlowAnswersStore(clock);
  const events = new RecordingEventLog();
  const freshness = new CancellationFreshness({ events });
  const watches: CollectionWatch[] = [];
  const cancelled: string[] = [];
  let storedAt = Number.NaN;
  store.onAnswerSent = async () => {
    const writes = [{ collection: CellCollection.Cancellations, key: JOB_ID, value: {} }];
    await store.write({ partition: jobPartition(JOB_ID), writes });
    storedAt = clock.now();
  };
  const [, cancellations] = createJobWatches({
    context: { store, events, clock },
    loaded: { jobsVersion: 0, cancellationsVersion: 0 },
    intake: {
      addJobs: () => {},
      cancelJobs: (rows) => cancelled.push(...rows.map(({ key }) => key)),
    },
    freshness: {
      confirm: (until) => {
        freshness.confirm(until);
        watches.forEach((watch) => watch.stop());
      },
    },
    wake: () => {},
  });
  assert.ok(cancellations !== undefined);
  watches.push(cancellations);
  await cancellations.run();
  assert.deepEqual(cancelled, []);
  assert.equal(freshness.isRecent(storedAt + CANCEL_MS), false);
});
