/**
 * What differs between two configurations, for plans and conflicts. Entries of lists are matched by name,
 * so that a moved entry is no difference.
 */
import type { OperatorConfiguration } from './operator-configuration.js';

export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

export interface ConfigurationDifference {
  kind: DifferenceKind;
  /** For example `services[label].instances`. */
  path: string;
  /** Null when added. */
  before: string | null;
  /** Null when removed. */
  after: string | null;
}

/** Compares with nothing when no configuration was applied yet. */
export function compareConfigurations(
  before: OperatorConfiguration | null,
  after: OperatorConfiguration,
): ConfigurationDifference[] {
  const { $schema: ignoredBefore, ...fieldsBefore } = before ?? {};
  const { $schema: ignoredAfter, ...fieldsAfter } = after;
  return compareFields('', toFields(fieldsBefore), toFields(fieldsAfter));
}

type Fields = Map<string, unknown>;

/** Separates an entry's name from the path of its list. */
function toFields(value: object): Fields {
  return new Map(Object.entries(value));
}

function compareFields(path: string, before: Fields, after: Fields): ConfigurationDifference[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.flatMap((name) =>
    compareValues(`${path}${name}`, before.get(name), after.get(name)),
  );
}

function compareValues(path: string, before: unknown, after: unknown): ConfigurationDifference[] {
  if (isNamedList(before ?? []) && isNamedList(after ?? []) && (before ?? after) !== undefined) {
    return compareFields('', toEntries(path, before), toEntries(path, after));
  }
  if (isObject(before) && isObject(after)) {
    return compareFields(`${path}.`, toFields(before), toFields(after));
  }
  const textBefore = describe(before);
  const textAfter = describe(after);
  if (textBefore === textAfter) {
    return [];
  }
  return [{ kind: kindOf(textBefore, textAfter), path, before: textBefore, after: textAfter }];
}

function kindOf(before: string | null, after: string | null): DifferenceKind {
  if (before === null) {
    return DifferenceKind.Added;
  }
  return after === null ? DifferenceKind.Removed : DifferenceKind.Changed;
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

interface NamedEntry {
  name: string;
}

function isNamedList(value: unknown): value is NamedEntry[] {
  return (
    Array.isArray(value) && value.every((entry) => typeof entry === 'object' && 'name' in entry)
  );
}

function toEntries(path: string, value: unknown): Fields {
  const entries = (value ?? []) as NamedEntry[];
  return new Map(entries.map((entry) => [`${path}[${entry.name}]`, entry]));
}

function describe(value: unknown): string | null {
  return value === undefined ? null : JSON.stringify(value);
}
