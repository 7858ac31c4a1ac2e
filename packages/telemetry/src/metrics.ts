/**
 * Counters, gauges and latency histograms of one process, and the page that shows them.
 */
import { Counter, Gauge, Registry } from 'prom-client';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

export type Labels = Record<string, string>;

const MICROSECONDS_PER_MILLISECOND = 1_000;
const HIGHEST_LATENCY_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;
const QUANTILES = [50, 99, 99.9];

/** A named histogram with its labels. */
interface LatencySeries {
  name: string;
  labels: Labels;
  histogram: Histogram;
}

export class Metrics {
  private readonly registry = new Registry();

  private readonly counters = new Map<string, Counter>();

  private readonly gauges = new Map<string, Gauge>();

  private readonly latencies = new Map<string, LatencySeries>();

  /** Adds to a counter; its labels must have the same names on every call. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    let counter = this.counters.get(name);
    if (counter === undefined) {
      counter = new Counter({
        name,
        help: name,
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.counters.set(name, counter);
    }
    counter.inc(labels, amount);
  }

  setGauge(name: string, value: number, labels: Labels = {}): void {
    let gauge = this.gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge({
        name,
        help: name,
        labelNames: Object.keys(labels),
        registers: [this.registry],
      });
      this.gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  recordLatency(name: string, milliseconds: number, labels: Labels = {}): void {
    const microseconds = Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND));
    this.latencySeries(name, labels).histogram.recordValue(
      Math.min(microseconds, HIGHEST_LATENCY_US),
    );
  }

  /** A percentile of a latency in milliseconds; null before the first value. */
  latencyPercentile(name: string, percentile: number, labels: Labels = {}): number | null {
    const { histogram } = this.latencySeries(name, labels);
    if (histogram.totalCount === 0) {
      return null;
    }
    return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  }

  /** The metrics page in the Prometheus text format. */
  async render(): Promise<string> {
    for (const { name, labels, histogram } of this.latencies.values()) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MILLISECOND;
        this.setGauge(name, value, { ...labels, quantile: String(quantile) });
      }
      this.setGauge(`${name}_count`, histogram.totalCount, labels);
    }
    return this.registry.metrics();
  }

  private latencySeries(name: string, labels: Labels): LatencySeries {
    const key = `${name} ${JSON.stringify(labels)}`;
    let series = this.latencies.get(key);
    if (series === undefined) {
      const histogram = build({
        highestTrackableValue: HIGHEST_LATENCY_US,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      series = { name, labels, histogram };
      this.latencies.set(key, series);
    }
    return series;
  }
}
