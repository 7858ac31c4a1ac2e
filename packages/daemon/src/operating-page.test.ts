/**
 * Guards against metrics and log lines that operators meet and find nowhere explained, and against
 * explanations of what the code no longer writes. Names are read from the sources of all product packages.
 */
import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const PAGE = 'docs/OPERATIONS.md';
const OTHER_PACKAGES = ['bench', 'test-support'];
/** Writes the events of others, which have a check of their own below. */
const EVENT_LOG = path.join('logger', 'src', 'event-log.ts');
const METRIC_METHODS = ['count', 'setGauge', 'recordLatency'];
const LOG_METHODS = ['info', 'warn', 'error', 'fatal'];

interface Found {
  text: string;
  place: string;
}

function sourceFiles(): string[] {
  const packages = readdirSync(path.join(ROOT, 'packages'))
    .filter((name) => !OTHER_PACKAGES.includes(name))
    .map((name) => path.join('packages', name));
  return [...packages, 'platform']
    .flatMap((name) => {
      const folder = path.join(ROOT, name, 'src');
      return readdirSync(folder, { recursive: true }).map((file) =>
        path.join(folder, String(file)),
      );
    })
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))
    .filter((file) => !file.endsWith(EVENT_LOG));
}

/** The texts that an argument can have: one for a literal, two for a choice, none that is known else. */
function textsOf(argument: ts.Expression | undefined): string[] {
  if (argument !== undefined && ts.isConditionalExpression(argument)) {
    return [...textsOf(argument.whenTrue), ...textsOf(argument.whenFalse)];
  }
  return argument !== undefined && ts.isStringLiteralLike(argument) ? [argument.text] : [];
}

function callsIn(file: string, receiver: RegExp, methods: string[]): ts.CallExpression[] {
  const source = ts.createSourceFile(
    file,
    readFileSync(file, 'utf8'),
    ts.ScriptTarget.Latest,
    true,
  );
  const calls: ts.CallExpression[] = [];
  const visit = (node: ts.Node): void => {
    if (
      ts.isCallExpression(node) &&
      ts.isPropertyAccessExpression(node.expression) &&
      methods.includes(node.expression.name.text) &&
      receiver.test(node.expression.expression.getText())
    ) {
      calls.push(node);
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return calls;
}

function collect(
  receiver: RegExp,
  methods: string[],
  textArgument: (call: ts.CallExpression) => ts.Expression | undefined,
): Found[] {
  return sourceFiles().flatMap((file) =>
    callsIn(file, receiver, methods).flatMap((call) => {
      const { line } = call.getSourceFile().getLineAndCharacterOfPosition(call.getStart());
      const place = `${path.relative(ROOT, file)}:${line + 1}`;
      const texts = textsOf(textArgument(call));
      assert.notEqual(texts.length, 0, `${place}: the text must be a literal to be found here`);
      return texts.map((text) => ({ text, place }));
    }),
  );
}

/** Names in backquotes in the first column of the tables of a section. */
function namesInSection(heading: string): string[] {
  const page = readFileSync(path.join(ROOT, PAGE), 'utf8');
  const section = page.split(/^## /mu).find((part) => part.startsWith(`${heading}\n`)) ?? '';
  return section
    .split('\n')
    .filter((line) => line.startsWith('|'))
    .flatMap((line) => [...(line.split('|')[1] ?? '').matchAll(/`([^`]+)`/gu)])
    .map(([, name]) => name ?? '');
}

function compareWithPage(found: Found[], heading: string): void {
  const documented = namesInSection(heading);
  const missing = found.filter(({ text }) => !documented.includes(text));
  assert.deepEqual(missing, [], `not explained under "${heading}" in ${PAGE}`);
  const written = found.map(({ text }) => text);
  const stale = documented.filter((name) => !written.includes(name));
  assert.deepEqual(stale, [], `explained under "${heading}" in ${PAGE}, not written by the code`);
}

test('the operating page explains every metric, and no other', () => {
  const found = collect(/\bmetrics$/u, METRIC_METHODS, (call) => call.arguments[0]);
  assert.ok(found.length > 50, `${found.length} metrics found`);
  compareWithPage(found, 'Metrics');
});

test('the operating page explains every log line from level info, and no other', () => {
  const found = collect(/\blogger$/u, LOG_METHODS, ({ arguments: list }) => list[list.length - 1]);
  assert.ok(found.length > 20, `${found.length} log lines found`);
  compareWithPage(found, 'Log lines');
});

test('the operating page explains every event, and no other', () => {
  const found = collect(/\bevents$/u, ['write'], (call) => call.arguments[0]);
  assert.ok(found.length > 50, `${found.length} events found`);
  compareWithPage(found, 'Events on the platform');
});
