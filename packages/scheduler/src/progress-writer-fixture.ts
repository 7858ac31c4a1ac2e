/**
 * Test fixture: a progress writer of a scheduler that holds the lease of its cell, with empty tables.
 */
import assert from 'node:assert/strict';
import { createState } from '@figjunction/scheduling/cell-fixture';
import type { CellState } from '@figjunction/scheduling';
import type { ManualClock } from '@figjunction/time';
import { createCellContext } from './cell-context-fixture.js';
import type { CellContext } from './cell-context.js';
import { CellLease } from './cell-lease.js';
import type { MemoryFeedStore } from './memory-feed-store.js';
import { OwnerDirectory } from './owner-directory.js';
import { ProgressWriter } from './progress-writer.js';

export interface WriterFixtureOptions {
  clock: ManualClock;
  store: MemoryFeedStore;
  onRunnerRegistered?: (runnerId: string) => void;
  /** Fails the test by default. */
  onDeposed?: () => void;
}

export interface WriterFixture {
  context: CellContext;
  state: CellState;
  writer: ProgressWriter;
}

export async function createWriterFixture({
  clock,
  store,
  onRunnerRegistered = () => {},
  onDeposed = () => assert.fail('deposed'),
}: WriterFixtureOptions): Promise<WriterFixture> {
  const context = createCellContext(clock, { store });
  const lease = new CellLease(context);
  const view = await new OwnerDirectory(context).refresh();
  assert.ok(view !== null && (await lease.acquire(view)));
  const state = createState();
  const onStored = (): void => {};
  const writer = new ProgressWriter({
    context,
    state,
    lease,
    onRunnerRegistered,
    onDeposed,
    onStored,
  });
  return { context, state, writer };
}
