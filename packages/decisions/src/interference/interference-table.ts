/**
 * How much the kinds of batch work on a VM slow a service down, learnt from lagging measurements of whole
 * VMs. A measurement shows only the sum of all effects; each kind's coefficient is corrected in proportion
 * to its share of the VM's processors (normalised least mean squares). The effect changes with the load of
 * the VM, so each band of load has coefficients of its own.
 */
import type { KindName, Resources, ServiceName, TaskUsage } from '@figjunction/types';

export interface InterferenceOptions {
  /** Part of the error that one measurement corrects, 0 to 1. */
  learningRate?: number;
  /** Assumed for a pair that was never measured. */
  defaultCoefficient?: number;
}

export interface InterferenceTable {
  options: Required<InterferenceOptions>;
  /** Slowdown minus one that a kind causes per VM's worth of processors, by pair and band of load. */
  coefficients: Map<string, number>;
}

/** A kind of batch work on a VM and its part of the VM's processors, 0 to 1. */
export interface BatchShare {
  kind: KindName;
  share: number;
}

/** Upper ends of the bands of load; load is processors used over capacity. */
const LOAD_BAND_ENDS = [0.5, 0.8, 1, Number.POSITIVE_INFINITY];

const COEFFICIENT_MAXIMUM = 100;

const DEFAULT_OPTIONS: Required<InterferenceOptions> = {
  learningRate: 0.3,
  // A small effect, so that unknown pairs are spread but not refused.
  defaultCoefficient: 0.2,
};

export function createInterferenceTable(options: InterferenceOptions = {}): InterferenceTable {
  return { options: { ...DEFAULT_OPTIONS, ...options }, coefficients: new Map() };
}

/** Learns from one measurement of a VM. */
export function recordVmUsage(
  table: InterferenceTable,
  capacity: Resources,
  usage: readonly TaskUsage[],
): void {
  const processors = Math.max(1, capacity.processorMillicores);
  const batch = sharesByKind(usage, processors);
  const load = usage.reduce((sum, { used }) => sum + used.processorMillicores, 0) / processors;
  for (const { kind: service, slowdown } of usage) {
    if (slowdown !== null) {
      learn(table, service, batch, load, slowdown);
    }
  }
}

/** Expected slowdown of a service beside the given batch work; 1 means none. */
export function predictSlowdown(
  table: InterferenceTable,
  service: ServiceName,
  batch: readonly BatchShare[],
  load: number,
): number {
  const band = bandOf(load);
  const effect = batch
    .map(({ kind, share }) => coefficientOf(table, service, kind, band) * share)
    .reduce((sum, part) => sum + part, 0);
  return 1 + effect;
}

function learn(
  table: InterferenceTable,
  service: ServiceName,
  batch: readonly BatchShare[],
  load: number,
  slowdown: number,
): void {
  const norm = batch.reduce((sum, { share }) => sum + share * share, 0);
  if (norm === 0) {
    return;
  }
  const band = bandOf(load);
  const error = slowdown - predictSlowdown(table, service, batch, load);
  for (const { kind, share } of batch) {
    const before = coefficientOf(table, service, kind, band);
    const corrected = before + (table.options.learningRate * error * share) / norm;
    table.coefficients.set(
      pairKey(service, kind, band),
      Math.min(COEFFICIENT_MAXIMUM, Math.max(0, corrected)),
    );
  }
}

/** The coefficient of the band, or of the nearest band that was measured, or the default. */
function coefficientOf(
  table: InterferenceTable,
  service: ServiceName,
  kind: KindName,
  band: number,
): number {
  const nearest = LOAD_BAND_ENDS.map((_, other) => ({
    distance: Math.abs(other - band),
    value: table.coefficients.get(pairKey(service, kind, other)),
  }))
    .sort((left, right) => left.distance - right.distance)
    .find(({ value }) => value !== undefined);
  return nearest?.value ?? table.options.defaultCoefficient;
}

function sharesByKind(usage: readonly TaskUsage[], processors: number): BatchShare[] {
  const shares = new Map<KindName, number>();
  for (const { kind, used, slowdown } of usage) {
    if (slowdown === null) {
      shares.set(kind, (shares.get(kind) ?? 0) + used.processorMillicores / processors);
    }
  }
  return [...shares].map(([kind, share]) => ({ kind, share }));
}

function bandOf(load: number): number {
  return LOAD_BAND_ENDS.findIndex((end) => load < end);
}

function pairKey(service: ServiceName, kind: KindName, band: number): string {
  return `${service}\n${kind}\n${band}`;
}
