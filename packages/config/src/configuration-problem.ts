/**
 * What is wrong with a file, in a form that an operator can act on: where, what was found, what is allowed.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';

export interface ConfigurationProblem {
  file: string;
  /** Counted from 1; 0 when the value does not come from a file. */
  line: number;
  /** Counted from 1; 0 when the value does not come from a file. */
  column: number;
  /** For example `services[0].urgency`; empty for the whole file. */
  path: string;
  found: string;
  allowed: string;
}

/** One line for people: `file:line:column: path: found …, allowed: …`. */
export function formatProblem(problem: ConfigurationProblem): string {
  const { file, line, column, path, found, allowed } = problem;
  const place = line === 0 ? file : `${file}:${line}:${column}`;
  const subject = path === '' ? '' : ` ${path}:`;
  return `${place}:${subject} found ${found}; allowed: ${allowed}`;
}

/** A file or a setting that cannot be used, with everything that is wrong with it. */
export class ConfigurationError extends FigjunctionError {
  readonly problems: ConfigurationProblem[];

  constructor(problems: ConfigurationProblem[]) {
    super(problems.map(formatProblem).join('\n'), { code: ErrorCode.InvalidInput });
    this.problems = problems;
  }
}
