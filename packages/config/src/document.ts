/**
 * JSON with comments, with the position of every value, so that a problem can name its line and column.
 */
import {
  createScanner,
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import type { ConfigurationProblem } from './configuration-problem.js';

export type DocumentPath = (string | number)[];

/** Deeper files are refused: the parser and the checks are recursive. */
const DEPTH_MAXIMUM = 64;
/** More problems than this tell an operator nothing new. */
export const PROBLEMS_MAXIMUM = 100;

const FOUND_LENGTH_MAXIMUM = 80;
/** Somebody may write a token where its hash belongs; problems reach terminals and logs. */
const SECRET_FIELDS: (string | number)[] = ['sharedToken', 'sha256'];
const PARSE_OPTIONS = { allowTrailingComma: true, disallowComments: false };

export interface PositionedProblem {
  path: DocumentPath;
  /** Left out when the value at the path describes it. */
  found?: string;
  allowed: string;
}

interface DuplicateKey {
  offset: number;
  path: DocumentPath;
}

/** One parsed file; `value` is meaningful only when there are no problems. */
export class ConfigurationDocument {
  readonly value: unknown;

  /** Syntax errors and duplicate keys. */
  readonly problems: ConfigurationProblem[];

  private readonly root: Node | undefined;

  private readonly lineStarts: number[];

  constructor(
    private readonly text: string,
    private readonly fileName: string,
  ) {
    this.lineStarts = findLineStarts(text);
    const tooDeep = findExcessiveDepth(text);
    if (tooDeep !== null) {
      this.problems = [
        this.problemAt(tooDeep, {
          found: `more than ${DEPTH_MAXIMUM} nested levels`,
          allowed: `at most ${DEPTH_MAXIMUM} nested levels`,
        }),
      ];
      return;
    }
    const errors: ParseError[] = [];
    this.root = parseTree(text, errors, PARSE_OPTIONS);
    this.problems = [
      ...errors.slice(0, PROBLEMS_MAXIMUM).map((error) => this.describeSyntaxError(error)),
      ...findDuplicateKeys(this.root, [])
        .slice(0, PROBLEMS_MAXIMUM)
        .map((duplicate) => this.describeDuplicate(duplicate)),
    ];
    this.value = this.root === undefined ? undefined : getNodeValue(this.root);
  }

  /** Adds the position and, unless given, a description of the value at the path. */
  locate(problem: PositionedProblem): ConfigurationProblem {
    const { path, allowed } = problem;
    const node = this.nodeNear(path);
    const exact = this.nodeAt(path);
    const found = problem.found ?? this.describeNode(path, exact);
    return this.problemAt(node?.offset ?? 0, { path: formatPath(path), found, allowed });
  }

  /** Like `locate`, but points at the name of a property instead of its value. */
  locateKey(path: DocumentPath, allowed: string): ConfigurationProblem {
    const property = this.nodeAt(path)?.parent;
    const offset = property?.children?.[0]?.offset ?? this.nodeNear(path)?.offset ?? 0;
    const found = `unknown field ${JSON.stringify(path[path.length - 1])}`;
    return this.problemAt(offset, { path: formatPath(path), found, allowed });
  }

  private nodeAt(path: DocumentPath): Node | undefined {
    return this.root === undefined ? undefined : findNodeAtLocation(this.root, path);
  }

  /** The node at the path or at the longest part of it that exists. */
  private nodeNear(path: DocumentPath): Node | undefined {
    const shorter = path.map((_, index) => path.slice(0, path.length - index - 1));
    return [path, ...shorter]
      .map((candidate) => this.nodeAt(candidate))
      .find((node) => node !== undefined);
  }

  private describeNode(path: DocumentPath, node: Node | undefined): string {
    if (node === undefined) {
      return 'nothing';
    }
    if (node.type === 'object') {
      return 'an object';
    }
    if (node.type === 'array') {
      return `a list of ${node.children?.length ?? 0}`;
    }
    if (SECRET_FIELDS.includes(path[path.length - 1] ?? '')) {
      return `a value of ${node.length} characters that is not shown`;
    }
    return shorten(this.text.slice(node.offset, node.offset + node.length));
  }

  private describeSyntaxError(error: ParseError): ConfigurationProblem {
    const found = this.text.slice(error.offset, error.offset + error.length).trim();
    const name = printParseErrorCode(error.error).replace(/([a-z])([A-Z])/gu, '$1 $2');
    return this.problemAt(error.offset, {
      found: found === '' ? 'the end of the file' : shorten(found),
      allowed: `JSON with comments (${name.toLowerCase()})`,
    });
  }

  private describeDuplicate({ offset, path }: DuplicateKey): ConfigurationProblem {
    return this.problemAt(offset, {
      path: formatPath(path),
      found: `${JSON.stringify(path[path.length - 1])} a second time`,
      allowed: 'each key once',
    });
  }

  private problemAt(
    offset: number,
    fields: { path?: string; found: string; allowed: string },
  ): ConfigurationProblem {
    const startsBefore = this.lineStarts.filter((start) => start <= offset);
    const line = startsBefore.length;
    const column = offset - (startsBefore[line - 1] ?? 0) + 1;
    return { file: this.fileName, line, column, path: '', ...fields };
  }
}

/** `services[0].urgency`, or `the whole file`'s empty path. */
export function formatPath(path: DocumentPath): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') {
        return `[${part}]`;
      }
      return index === 0 ? part : `.${part}`;
    })
    .join('');
}

function shorten(text: string): string {
  return text.length <= FOUND_LENGTH_MAXIMUM ? text : `${text.slice(0, FOUND_LENGTH_MAXIMUM)}…`;
}

function findLineStarts(text: string): number[] {
  const starts = [0];
  for (const match of text.matchAll(/\n/gu)) {
    starts.push(match.index + 1);
  }
  return starts;
}

function findDuplicateKeys(node: Node | undefined, path: DocumentPath): DuplicateKey[] {
  if (node?.type === 'array') {
    return (node.children ?? []).flatMap((child, index) =>
      findDuplicateKeys(child, [...path, index]),
    );
  }
  if (node?.type !== 'object') {
    return [];
  }
  const seen = new Set<string>();
  return (node.children ?? []).flatMap((property) => {
    const [key, value] = property.children ?? [];
    const name = String(key?.value);
    const propertyPath = [...path, name];
    const repeated = seen.has(name);
    seen.add(name);
    return [
      ...(repeated ? [{ offset: key?.offset ?? 0, path: propertyPath }] : []),
      ...findDuplicateKeys(value, propertyPath),
    ];
  });
}

/** Offset of the first bracket that nests too deep, found without recursion. */
function findExcessiveDepth(text: string): number | null {
  const scanner = createScanner(text, true);
  let depth = 0;
  while (scanner.getPosition() < text.length) {
    scanner.scan();
    const first = text[scanner.getTokenOffset()];
    if (first === '[' || first === '{') {
      depth += 1;
    } else if (first === ']' || first === '}') {
      depth -= 1;
    }
    if (depth > DEPTH_MAXIMUM) {
      return scanner.getTokenOffset();
    }
  }
  return null;
}
