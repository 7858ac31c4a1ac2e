/**
 * One entry is cut off from the platform while the others work on.
 */
import assert from 'node:assert/strict';
import { waitUntil } from '@figjunction/test-support';
import { IN_FORCE_BOUND_MS, PROCESSES, apply, currentRevision, fileWith } from './fixture.js';
import type { ProofFixture } from './fixture.js';
import { requestLabels } from './label-requests.js';
import type { ProcessRevision } from './revision-watch.js';

const CUT_OFF_INDEX = 1;
const CUT_OFF_NAME = 'entry-2';
const OBSERVED_MS = 2_000;

/**
 * An entry that is cut off from the platform reports itself as unconfirmed, serves requests, and still
 * takes a newer revision from its peer.
 */
export async function servesWhileCutOff(fixture: ProofFixture): Promise<void> {
  const { cluster, secondEntryRelay, watch } = fixture;
  const readCutOff = async (): Promise<ProcessRevision | undefined> =>
    (await watch.read(CUT_OFF_INDEX)).find(({ name }) => name === CUT_OFF_NAME);
  const base = await currentRevision(cluster);
  secondEntryRelay.cut();
  await waitUntil(async () => (await readCutOff())?.confirmed === false, {
    what: 'the entry that is cut off reports itself as unconfirmed',
  });
  assert.equal((await apply(cluster, 0, base, fileWith('during the cut'))).status, 200);
  assert.deepEqual(await requestLabels(cluster, OBSERVED_MS), [], 'requests go on');
  const reached = await waitUntil(
    async () => {
      const cutOff = await readCutOff();
      return cutOff?.revision === base + 1 ? cutOff : null;
    },
    { what: 'the peer hands the newer revision on', timeoutMs: IN_FORCE_BOUND_MS },
  );
  assert.equal(reached.confirmed, false, 'a revision from a peer is not confirmed by the table');
  secondEntryRelay.restore();
  await watch.waitForRevision(base + 1, PROCESSES, IN_FORCE_BOUND_MS);
}
