/**
 * Guards against a follower that waits for a poll that never gets an answer, and against one that takes its copy for
 * recent without an answer of the store.
 */
import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import type { ReadOptions } from '@figjunction/store';
import { SystemClock, sleep } from '@figjunction/time';
import type { FleetConfiguration } from '@figjunction/types';
import { ConfigurationFeed } from './configuration-feed.js';
import type { ConfigurationChange, ConfigurationWatchOptions } from './configuration-feed.js';
import { ConfigurationFollower } from './configuration-follower.js';

const IN_FORCE_WITHIN_MS = 300;
const LONG_MS = 10_000;

const clock = new SystemClock();
const events = new RecordingEventLog();
let follower: ConfigurationFollower | null = null;

/** A store of one configuration, whose version is that of the row. */
class FakeFeed extends ConfigurationFeed {
  revision = 1;

  /** Pooled connections give no answer. */
  isPoolSilent = false;

  /** No connection gives an answer. */
  isStoreSilent = false;

  isHistoryGone = false;

  /** Versions by which a whole reading is behind. */
  readLag = 0;

  readonly watches: ConfigurationWatchOptions[] = [];

  override async read(options: ReadOptions = {}): Promise<ConfigurationChange> {
    await this.waitIfSilent(options);
    return this.createChange(this.revision - this.readLag, 0);
  }

  override async watch(options: ConfigurationWatchOptions): Promise<ConfigurationChange | null> {
    this.watches.push(options);
    await this.waitIfSilent(options);
    if (this.isHistoryGone && options.afterVersion < this.revision) {
      return null;
    }
    const deadline = clock.now() + options.waitMs;
    while (clock.now() < deadline && this.revision === options.afterVersion) {
      await sleep(1);
    }
    const heldMs = this.revision === options.afterVersion ? options.waitMs : 0;
    return this.createChange(this.revision, heldMs);
  }

  private createChange(revision: number, heldMs: number): ConfigurationChange {
    const configuration = { revision, queues: [], services: [] };
    return { configuration, version: revision, heldMs, storeMs: clock.now() };
  }

  private async waitIfSilent({ newConnection = false, signal }: ReadOptions): Promise<void> {
    if (this.isStoreSilent || (this.isPoolSilent && !newConnection)) {
      await sleep(LONG_MS, signal);
      throw new Error('no answer');
    }
  }
}

async function waitUntil(isSatisfied: () => boolean): Promise<void> {
  while (!isSatisfied()) {
    await sleep(1);
  }
}

async function follow(feed: FakeFeed): Promise<ConfigurationFollower> {
  const inForceWithinMs = IN_FORCE_WITHIN_MS;
  const started = new ConfigurationFollower({ feed, clock, events, inForceWithinMs });
  follower = started;
  started.run().catch(assert.ifError);
  await waitUntil(() => started.configuration !== null);
  return started;
}

afterEach(() => follower?.stop());

test('asks again over a new connection, for an answer at once, while a poll has none', async () => {
  const feed = new FakeFeed();
  const followed = await follow(feed);
  feed.isPoolSilent = true;
  feed.revision = 2;
  feed.watches.length = 0;
  await waitUntil(() => followed.configuration?.revision === 2);
  const joining = feed.watches.filter(({ newConnection }) => newConnection === true);
  assert.ok(joining.length > 0);
  assert.ok(joining.every(({ waitMs }) => waitMs === 0));
  assert.ok(events.fieldsOf('configuration-poll-overdue').length > 0);
});

test('reads the configuration when the history is gone and the pooled connections are silent', async () => {
  const feed = new FakeFeed();
  const followed = await follow(feed);
  feed.isHistoryGone = true;
  feed.isPoolSilent = true;
  feed.revision = 2;
  await waitUntil(() => followed.configuration?.revision === 2);
});

test('does not go back to an older state that a whole reading returns', async () => {
  const feed = new FakeFeed();
  feed.revision = 5;
  const followed = await follow(feed);
  feed.isHistoryGone = true;
  feed.revision = 6;
  feed.readLag = 2;
  await waitUntil(() => !followed.isRecent);
  assert.equal(followed.configuration?.revision, 5);
  feed.readLag = 0;
  await waitUntil(() => followed.configuration?.revision === 6);
});

test('takes its copy for recent only as long as the store may have nothing newer in force', async () => {
  const feed = new FakeFeed();
  const followed = await follow(feed);
  assert.ok(followed.isRecent);
  followed.stop();
  feed.isPoolSilent = true;
  await waitUntil(() => !followed.isRecent);
  assert.ok(followed.ageMs > IN_FORCE_WITHIN_MS);
});

test('wakes requests that wait for a recent copy with the first answer, after it is in force', async () => {
  const feed = new FakeFeed();
  const followed = await follow(feed);
  feed.isStoreSilent = true;
  await waitUntil(() => !followed.isRecent);
  const waiting = followed.waitUntilRecent(LONG_MS).then((isRecent) => {
    assert.ok(isRecent);
    return followed.configuration?.revision;
  });
  assert.equal(await followed.waitUntilRecent(1), false);
  feed.revision = 2;
  feed.isStoreSilent = false;
  assert.equal(await waiting, 2);
});

test('tries a configuration again that could not be put in force', async () => {
  const feed = new FakeFeed();
  const seen: number[] = [];
  const onConfiguration = ({ revision }: FleetConfiguration): void => {
    seen.push(revision);
    if (seen.length === 1) {
      throw new Error('not now');
    }
  };
  const inForceWithinMs = IN_FORCE_WITHIN_MS;
  const started = new ConfigurationFollower({
    feed,
    clock,
    events,
    inForceWithinMs,
    onConfiguration,
  });
  follower = started;
  started.run().catch(assert.ifError);
  await waitUntil(() => started.configuration !== null);
  assert.deepEqual(seen, [1, 1]);
});
