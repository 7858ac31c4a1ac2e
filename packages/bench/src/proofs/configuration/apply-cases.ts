/**
 * Cases about the write of a revision: operators that race each other, and a write whose answer is lost.
 */
import assert from 'node:assert/strict';
import {
  IN_FORCE_BOUND_MS,
  OPERATOR_TOKEN,
  PROCESSES,
  apply,
  currentRevision,
  fileWith,
  parse,
} from './fixture.js';
import type { ProofFixture } from './fixture.js';

const ROUNDS = 10;
const CONFIGURATION_PREFIX = 'configuration';
const ANSWERS_TO_LOSE = 3;

interface Conflict {
  currentRevision: number;
  currentBody: string;
}

/** Two operators apply at once through different entries: one wins, the other sees the winner's file. */
export async function provesOneWinner({ cluster, watch }: ProofFixture): Promise<void> {
  for (let round = 1; round <= ROUNDS; round += 1) {
    const base = await currentRevision(cluster);
    const bodies = [0, 1].map((entry) => fileWith(`round ${round} through entry ${entry}`));
    const answers = await Promise.all(
      bodies.map((body, entry) => apply(cluster, entry, base, body)),
    );
    const statuses = answers.map(({ status }) => status);
    assert.deepEqual([...statuses].sort(), [200, 409], 'exactly one operator wins');
    const winner = statuses.indexOf(200);
    const conflict = parse<Conflict>(answers[1 - winner]!);
    assert.equal(conflict.currentRevision, base + 1);
    assert.equal(conflict.currentBody, bodies[winner], 'the loser sees the file of the winner');
    await watch.waitForRevision(base + 1, PROCESSES, IN_FORCE_BOUND_MS);
    for (const entry of [0, 1]) {
      const shown = await cluster
        .entryClient(entry)
        .call('GET', '/v1/configuration', OPERATOR_TOKEN);
      assert.equal(parse<{ body: string }>(shown).body, bodies[winner]);
    }
  }
}

/** The answer of the winning write is lost: the file is applied once and the operator learns it. */
export async function resolvesLostAnswer({ cluster, watch }: ProofFixture): Promise<void> {
  const base = await currentRevision(cluster);
  const control = cluster.platformControl;
  const before = await control.readStats();
  // Limited to the row of the configuration, so that no other write takes up the lost answers.
  const loseAnswersOfPrefix = CONFIGURATION_PREFIX;
  await control.setFaults({ loseAnswers: ANSWERS_TO_LOSE, loseAnswersOfPrefix });
  const answer = await apply(cluster, 0, base, fileWith('lost answer'));
  await control.setFaults({ loseAnswers: 0, loseAnswersOfPrefix: null });
  assert.equal(answer.status, 200, answer.body.toString());
  assert.equal(parse<{ revision: number }>(answer).revision, base + 1);
  const after = await control.readStats();
  const written =
    (after.rowsWrittenByPrefix.configuration ?? 0) -
    (before.rowsWrittenByPrefix.configuration ?? 0);
  assert.equal(written, 1, 'the row was written once');
  const metrics = await cluster.entryClient(0).call('GET', '/metrics', OPERATOR_TOKEN);
  assert.match(metrics.body.toString(), /^configuration_write_retries_total [1-9]/mu);
  await watch.waitForRevision(base + 1, PROCESSES, IN_FORCE_BOUND_MS);
}
