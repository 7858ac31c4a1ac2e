/**
 * Learns how much each kind of batch task slows a service down, from lagging measurements of whole VMs. A
 * measurement shows only the sum of all effects, so each kind's coefficient is corrected in proportion to
 * its share of the VM's processors (normalised least mean squares). The effect depends on the load of the
 * VM, so each load band has its own coefficients.
 */
import type { KindName, Resources, ServiceName, TaskUsage } from '@figjunction/types';

export interface InterferenceOptions {
  /** Fraction of the error that one measurement corrects, 0 to 1. */
  learningRate?: number;
  /** Coefficient of a service and kind that were never measured together. */
  defaultCoefficient?: number;
}

export interface InterferenceTable {
  options: Required<InterferenceOptions>;
  /** Slowdown minus 1 that a kind causes if it uses all processors, by service, kind and load band. */
  coefficients: Map<string, number>;
}

/** A kind of batch task and its share of the VM's processors, 0 to 1. */
export interface BatchShare {
  kind: KindName;
  share: number;
}

/** Exclusive upper bounds of the load bands. Load is processor use divided by capacity. */
const LOAD_BAND_UPPER_BOUNDS = [0.5, 0.8, 1, Number.POSITIVE_INFINITY];

const COEFFICIENT_MAXIMUM = 100;

const DEFAULT_OPTIONS: Required<InterferenceOptions> = {
  learningRate: 0.3,
  // Small, so that unknown combinations are spread over VMs but not refused.
  defaultCoefficient: 0.2,
};

export function createInterferenceTable(options: InterferenceOptions = {}): InterferenceTable {
  return { options: { ...DEFAULT_OPTIONS, ...options }, coefficients: new Map() };
}

/** Updates the coefficients with one measurement of a VM. */
export function recordVmUsage(
  table: InterferenceTable,
  capacity: Resources,
  usage: readonly TaskUsage[],
): void {
  const processors = Math.max(1, capacity.processorMillicores);
  const batch = sumSharesByKind(usage, processors);
  const load = usage.reduce((sum, { used }) => sum + used.processorMillicores, 0) / processors;
  for (const { kind: service, slowdown } of usage) {
    if (slowdown !== null) {
      updateCoefficients(table, service, batch, load, slowdown);
    }
  }
}

/** Expected slowdown of a service next to the given batch tasks; 1 means none. */
export function predictSlowdown(
  table: InterferenceTable,
  service: ServiceName,
  batch: readonly BatchShare[],
  load: number,
): number {
  const band = findLoadBand(load);
  const effect = batch
    .map(({ kind, share }) => findCoefficient(table, service, kind, band) * share)
    .reduce((sum, slowdown) => sum + slowdown, 0);
  return 1 + effect;
}

function updateCoefficients(
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
  const band = findLoadBand(load);
  const error = slowdown - predictSlowdown(table, service, batch, load);
  for (const { kind, share } of batch) {
    const before = findCoefficient(table, service, kind, band);
    const corrected = before + (table.options.learningRate * error * share) / norm;
    table.coefficients.set(
      createCoefficientKey(service, kind, band),
      Math.min(COEFFICIENT_MAXIMUM, Math.max(0, corrected)),
    );
  }
}

/** The coefficient of the band, else of the nearest measured band, else the default. */
function findCoefficient(
  table: InterferenceTable,
  service: ServiceName,
  kind: KindName,
  band: number,
): number {
  const nearest = LOAD_BAND_UPPER_BOUNDS.map((_, other) => ({
    distance: Math.abs(other - band),
    value: table.coefficients.get(createCoefficientKey(service, kind, other)),
  }))
    .sort((left, right) => left.distance - right.distance)
    .find(({ value }) => value !== undefined);
  return nearest?.value ?? table.options.defaultCoefficient;
}

function sumSharesByKind(usage: readonly TaskUsage[], processors: number): BatchShare[] {
  const shares = new Map<KindName, number>();
  for (const { kind, used, slowdown } of usage) {
    if (slowdown === null) {
      shares.set(kind, (shares.get(kind) ?? 0) + used.processorMillicores / processors);
    }
  }
  return [...shares].map(([kind, share]) => ({ kind, share }));
}

function findLoadBand(load: number): number {
  return LOAD_BAND_UPPER_BOUNDS.findIndex((bound) => load < bound);
}

function createCoefficientKey(service: ServiceName, kind: KindName, band: number): string {
  return `${service}\n${kind}\n${band}`;
}
