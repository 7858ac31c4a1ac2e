/**
 * Reads an operators' file as a whole: it is accepted as one complete desired state or refused with every
 * problem at once.
 */
import type { ConfigurationProblem } from './configuration-problem.js';
import { operatorConfigurationSchema } from './operator-configuration.js';
import type { OperatorConfiguration } from './operator-configuration.js';
import { PROBLEMS_MAXIMUM } from './document.js';
import { parseDocument } from './parse-document.js';
import { findReferenceProblems } from './references.js';

export type ParsedOperatorConfiguration =
  { configuration: OperatorConfiguration } | { problems: ConfigurationProblem[] };

/** Larger files are refused before they are parsed. */
export const CONFIGURATION_BYTES_MAXIMUM = 1024 * 1024;

export function parseOperatorConfiguration(
  text: string,
  fileName: string,
): ParsedOperatorConfiguration {
  const bytes = Buffer.byteLength(text);
  if (bytes > CONFIGURATION_BYTES_MAXIMUM) {
    return { problems: [describeSize(bytes, fileName)] };
  }
  const parsed = parseDocument(text, fileName, operatorConfigurationSchema);
  if ('problems' in parsed) {
    return parsed;
  }
  const problems = findReferenceProblems(parsed.value)
    .slice(0, PROBLEMS_MAXIMUM)
    .map((problem) => parsed.document.locate(problem));
  if (problems.length > 0) {
    return { problems };
  }
  return { configuration: parsed.value };
}

function describeSize(bytes: number, fileName: string): ConfigurationProblem {
  return {
    file: fileName,
    line: 1,
    column: 1,
    path: '',
    found: `${bytes} bytes`,
    allowed: `at most ${CONFIGURATION_BYTES_MAXIMUM} bytes`,
  };
}
