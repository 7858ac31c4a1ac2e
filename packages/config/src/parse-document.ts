/**
 * Checks a parsed file against a zod schema and reports every problem at once.
 */
import type { z } from 'zod';
import type { ConfigurationProblem } from './configuration-problem.js';
import { ConfigurationDocument, PROBLEMS_MAXIMUM, formatPath } from './document.js';
import type { DocumentPath } from './document.js';

export type ParsedDocument<Value> =
  { value: Value; document: ConfigurationDocument } | { problems: ConfigurationProblem[] };

export function parseDocument<Schema extends z.ZodType>(
  text: string,
  fileName: string,
  schema: Schema,
): ParsedDocument<z.infer<Schema>> {
  const document = new ConfigurationDocument(text, fileName);
  if (document.problems.length > 0) {
    return { problems: document.problems.slice(0, PROBLEMS_MAXIMUM) };
  }
  const result = schema.safeParse(document.value);
  if (result.success) {
    return { value: result.data, document };
  }
  const problems = keepNarrowest(result.error.issues)
    .slice(0, PROBLEMS_MAXIMUM)
    .flatMap((issue) => describeIssue(document, issue, schema));
  return { problems: problems.slice(0, PROBLEMS_MAXIMUM) };
}

/**
 * The last issue of each kind at each path. A number beyond the safe integers breaks that bound and the
 * field's own, of which the second is the one that helps.
 */
function keepNarrowest(issues: z.core.$ZodIssue[]): z.core.$ZodIssue[] {
  const byPlace = new Map(
    issues.map((issue) => [`${issue.code} ${formatPath(pathOf(issue))}`, issue]),
  );
  return [...byPlace.values()];
}

/** The path of an issue within the file. */
export function pathOf(issue: z.core.$ZodIssue): DocumentPath {
  return issue.path.filter((part): part is string | number => typeof part !== 'symbol');
}

/** Positions one issue of the schema; unknown fields are reported one by one. */
export function describeIssue(
  document: ConfigurationDocument,
  issue: z.core.$ZodIssue,
  schema: z.ZodType,
): ConfigurationProblem[] {
  const path = pathOf(issue);
  if (issue.code === 'unrecognized_keys') {
    const allowed = describeKeys(schema, path);
    // All unknown fields of one object are one issue, and each search for a position scans the object.
    return issue.keys
      .slice(0, PROBLEMS_MAXIMUM)
      .map((key) => document.locateKey([...path, key], allowed));
  }
  return [document.locate({ path, allowed: describeAllowed(issue) })];
}

/** What an issue says is allowed, in words. */
export function describeAllowed(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return issue.expected === 'int' ? 'a whole number' : `a value of type ${issue.expected}`;
    case 'too_small':
      return `${describeUnit(issue.origin)}${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}`;
    case 'too_big':
      return `${describeUnit(issue.origin)}${issue.inclusive ? 'at most' : 'less than'} ${issue.maximum}`;
    case 'invalid_value':
      return `one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`;
    default:
      return issue.message;
  }
}

function describeUnit(origin: string): string {
  if (origin === 'string') {
    return 'a length of ';
  }
  return origin === 'array' ? 'a number of entries of ' : '';
}

/** The fields of the object at a path of the schema. */
function describeKeys(schema: z.ZodType, path: DocumentPath): string {
  let current: unknown = schema;
  for (const part of path) {
    const definition = definitionOf(current);
    current = typeof part === 'number' ? definition?.element : definition?.shape?.[part];
  }
  const shape = definitionOf(current)?.shape ?? {};
  return `the fields ${Object.keys(shape).join(', ')}`;
}

interface SchemaDefinition {
  shape?: Record<string, unknown>;
  element?: unknown;
  innerType?: unknown;
}

/** The definition of a schema below its defaults and optional marks. */
function definitionOf(schema: unknown): SchemaDefinition | undefined {
  let definition = (schema as { def?: SchemaDefinition } | undefined)?.def;
  while (definition?.innerType !== undefined) {
    definition = (definition.innerType as { def: SchemaDefinition }).def;
  }
  return definition;
}

/** Parses JSON with comments without a schema. */
export function parseJsonWithComments(
  text: string,
  fileName: string,
): { value: unknown } | { problems: ConfigurationProblem[] } {
  const { problems, value } = new ConfigurationDocument(text, fileName);
  return problems.length > 0 ? { problems } : { value };
}
