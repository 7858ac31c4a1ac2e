/**
 * Interactive requests that go on while the configuration cannot be confirmed.
 */
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { RequestOutcome } from '@figjunction/types';
import { TEAM_TOKEN, parse } from './fixture.js';

const REQUEST_INTERVAL_MS = 200;

/** Sends requests through both entries in turn and returns those that were not completed. */
export async function requestLabels(cluster: Cluster, durationMs: number): Promise<string[]> {
  const failures: string[] = [];
  const rounds = Math.ceil(durationMs / REQUEST_INTERVAL_MS);
  for (let round = 0; round < rounds; round += 1) {
    const client = cluster.entryClient(round % cluster.entries.length);
    const body = JSON.stringify({ round });
    const answer = await client.request({ service: 'label', body, token: TEAM_TOKEN });
    if (answer.outcome !== RequestOutcome.Completed) {
      failures.push(
        `${answer.status} ${parse<{ message: string }>({ ...answer, headers: {} }).message}`,
      );
    }
    await sleep(REQUEST_INTERVAL_MS);
  }
  return failures;
}
