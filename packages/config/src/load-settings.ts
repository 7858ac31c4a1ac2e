/**
 * Settings of a process from its file, then the environment, then flags; a later source overrides an
 * earlier one. Problems of all sources are reported at once, each naming its source.
 */
import { readFileSync } from 'node:fs';
import { toError } from '@figjunction/errors';
import type { z } from 'zod';
import { ConfigurationError } from './configuration-problem.js';
import type { ConfigurationProblem } from './configuration-problem.js';
import { ConfigurationDocument, formatPath } from './document.js';
import type { DocumentPath } from './document.js';
import { describeAllowed, describeIssue, pathOf } from './parse-document.js';
import { agentSettingsSchema, entrySettingsSchema } from './process-settings.js';
import type { AgentSettings, EntrySettings } from './process-settings.js';
import { AGENT_OVERRIDES, ENTRY_OVERRIDES, readOverride } from './setting-overrides.js';
import type { SettingOverride } from './setting-overrides.js';

export interface SettingsSources {
  /** Path of a file of JSON with comments. */
  file?: string | undefined;
  environment?: Record<string, string | undefined>;
  /** Values of flags, by the name of the flag. */
  flags?: Record<string, string | undefined>;
}

/** Throws a `ConfigurationError` that names every problem. */
export function loadEntrySettings(sources: SettingsSources): EntrySettings {
  return loadSettings(sources, entrySettingsSchema, ENTRY_OVERRIDES);
}

/** Throws a `ConfigurationError` that names every problem. */
export function loadAgentSettings(sources: SettingsSources): AgentSettings {
  return loadSettings(sources, agentSettingsSchema, AGENT_OVERRIDES);
}

interface AppliedOverride {
  override: SettingOverride;
  source: string;
  text: string;
}

function loadSettings<Schema extends z.ZodType>(
  sources: SettingsSources,
  schema: Schema,
  overrides: SettingOverride[],
): z.infer<Schema> {
  const document = readDocument(sources.file);
  const applied = findOverrides(sources, overrides);
  const merged = applied.reduce<unknown>(
    (value, { override, text }) =>
      withValue(value, override.path, readOverride(text, override.kind)),
    document.value ?? {},
  );
  const result = schema.safeParse(merged);
  if (result.success) {
    return result.data;
  }
  throw new ConfigurationError(
    result.error.issues.flatMap((issue) => {
      const path = pathOf(issue);
      const source = applied.filter(({ override }) => startsWith(path, override.path)).pop();
      if (source !== undefined) {
        return [describeOverride(source, issue)];
      }
      const problems = describeIssue(document, issue, schema);
      return sources.file === undefined ? problems.map(withoutPosition) : problems;
    }),
  );
}

function withoutPosition(problem: ConfigurationProblem): ConfigurationProblem {
  return { ...problem, line: 0, column: 0 };
}

function readDocument(file: string | undefined): ConfigurationDocument {
  if (file === undefined) {
    return new ConfigurationDocument('{}', 'settings');
  }
  const document = new ConfigurationDocument(readText(file), file);
  if (document.problems.length > 0) {
    throw new ConfigurationError(document.problems);
  }
  return document;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const found = `an unreadable file (${toError(error).message})`;
    const allowed = 'a readable file of JSON with comments';
    throw new ConfigurationError([{ file, line: 0, column: 0, path: '', found, allowed }]);
  }
}

/** The overrides in force, those from flags last. */
function findOverrides(sources: SettingsSources, overrides: SettingOverride[]): AppliedOverride[] {
  const { environment = {}, flags = {} } = sources;
  const fromEnvironment = overrides.map((override) => ({
    override,
    source: `environment variable ${override.environment}`,
    text: environment[override.environment],
  }));
  const fromFlags = overrides.map((override) => ({
    override,
    source: `flag --${override.flag}`,
    text: override.flag === null ? undefined : flags[override.flag],
  }));
  return [...fromEnvironment, ...fromFlags].filter(
    (candidate): candidate is AppliedOverride => candidate.text !== undefined,
  );
}

function withValue(target: unknown, path: string[], value: unknown): unknown {
  const [head, ...rest] = path;
  if (head === undefined) {
    return value;
  }
  const fields = typeof target === 'object' && target !== null ? target : {};
  const child = (fields as Record<string, unknown>)[head];
  return { ...fields, [head]: withValue(child, rest, value) };
}

function startsWith(path: DocumentPath, start: string[]): boolean {
  return start.every((part, index) => path[index] === part);
}

function describeOverride(
  { override, source, text }: AppliedOverride,
  issue: z.core.$ZodIssue,
): ConfigurationProblem {
  return {
    file: source,
    line: 0,
    column: 0,
    path: formatPath(pathOf(issue)),
    // A variable without a flag holds a secret, which must not reach the terminal or a log.
    found: override.flag === null ? 'a value that is not shown' : JSON.stringify(text),
    allowed: describeAllowed(issue),
  };
}
