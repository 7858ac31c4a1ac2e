/**
 * Invariant 9: an accepted configuration is in force everywhere within seconds and never reverts.
 */
import assert from 'node:assert/strict';
import { provesOneWinner, resolvesLostAnswer } from './configuration/apply-cases.js';
import { servesWhileCutOff } from './configuration/cut-off-case.js';
import { startFixture } from './configuration/fixture.js';
import {
  ignoresLateMessages,
  placesNothingUnconfirmed,
  startsDuringOutage,
} from './configuration/outage-cases.js';
import type { Proof } from './proof.js';

const CASES = [
  provesOneWinner,
  resolvesLostAnswer,
  servesWhileCutOff,
  startsDuringOutage,
  ignoresLateMessages,
  placesNothingUnconfirmed,
];

export const configurationProof: Proof = {
  number: 9,
  property: 'an accepted configuration is in force everywhere within seconds and never reverts',
  async run(): Promise<void> {
    const fixture = await startFixture();
    try {
      for (const runCase of CASES) {
        await runCase(fixture);
      }
      await fixture.watch.stop();
      assert.deepEqual(fixture.watch.reverts, []);
    } finally {
      await fixture.watch.stop();
      await fixture.cluster.close();
    }
  },
};
