/**
 * Reads the counters of the entries from their `/metrics` pages.
 */
import type { Cluster } from '@figjunction/test-support';
import { OPERATOR_TOKEN } from './workload.js';

const SAMPLE = /^(?<name>[a-zA-Z_:][\w:]*)(?:\{[^}]*\})? (?<value>\S+)$/u;

/** Samples of one page in the Prometheus text format, summed over their labels. */
export function parseMetrics(text: string): Map<string, number> {
  const totals = new Map<string, number>();
  for (const line of text.split('\n')) {
    const { name, value } = SAMPLE.exec(line)?.groups ?? {};
    if (name !== undefined && value !== undefined) {
      totals.set(name, (totals.get(name) ?? 0) + Number(value));
    }
  }
  return totals;
}

/** Counters summed over all entries; a counter that no entry has is absent. */
export async function readEntryMetrics(cluster: Cluster): Promise<Map<string, number>> {
  const totals = new Map<string, number>();
  for (let index = 0; index < cluster.entries.length; index += 1) {
    const answer = await cluster.entryClient(index).call('GET', '/metrics', OPERATOR_TOKEN);
    for (const [name, value] of parseMetrics(answer.body.toString('utf8'))) {
      totals.set(name, (totals.get(name) ?? 0) + value);
    }
  }
  return totals;
}

/** How much a counter rose between two readings. */
export function riseOf(
  name: string,
  before: Map<string, number>,
  after: Map<string, number>,
): number {
  return (after.get(name) ?? 0) - (before.get(name) ?? 0);
}
