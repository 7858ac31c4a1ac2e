/**
 * Guards against code samples in the pages of the packages that no longer compile, and against packages
 * without a page.
 */
import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import ts from 'typescript';

const PACKAGES = fileURLToPath(new URL('../..', import.meta.url));
const LINES_MINIMUM = 15;
const LINES_MAXIMUM = 40;
const HEADINGS = ['- May be imported by: ', '- Must not import: '];
const OPTIONS: ts.CompilerOptions = {
  target: ts.ScriptTarget.ES2023,
  module: ts.ModuleKind.NodeNext,
  moduleResolution: ts.ModuleResolutionKind.NodeNext,
  strict: true,
  noEmit: true,
  skipLibCheck: true,
  types: ['node'],
};

const pages = readdirSync(PACKAGES).map((name) => ({
  name,
  text: readFileSync(path.join(PACKAGES, name, 'README.md'), 'utf8'),
}));

/** Samples as files that exist only here, in the package they belong to. */
function samples(): Map<string, string> {
  return new Map(
    pages.flatMap(({ name, text }) =>
      [...text.matchAll(/```ts\n(.*?)```/gsu)].map(([, code], index): [string, string] => [
        path.join(PACKAGES, name, `readme-sample-${index}.ts`),
        `${code}\nexport {};\n`,
      ]),
    ),
  );
}

function compile(files: Map<string, string>): string[] {
  const host = ts.createCompilerHost(OPTIONS);
  const { fileExists, readFile, getSourceFile } = host;
  host.fileExists = (file) => files.has(file) || fileExists(file);
  host.readFile = (file) => files.get(file) ?? readFile(file);
  host.getSourceFile = (file, languageVersion, ...others) => {
    const text = files.get(file);
    return text === undefined
      ? getSourceFile(file, languageVersion, ...others)
      : ts.createSourceFile(file, text, languageVersion);
  };
  const program = ts.createProgram([...files.keys()], OPTIONS, host);
  return ts.getPreEmitDiagnostics(program).map(({ file, messageText }) => {
    const place = path.relative(PACKAGES, file?.fileName ?? '');
    return `${place}: ${ts.flattenDiagnosticMessageText(messageText, ' ')}`;
  });
}

test('every code sample in the page of a package compiles', () => {
  const files = samples();
  assert.ok(files.size >= 15, `${files.size} samples found`);
  assert.deepEqual(compile(files), []);
});

for (const { name, text } of pages) {
  test(`the page of ${name} is short and tells who may import what`, () => {
    const lines = text.trimEnd().split('\n');
    assert.ok(lines.length >= LINES_MINIMUM && lines.length <= LINES_MAXIMUM, `${lines.length}`);
    assert.equal(lines[0], `# @figjunction/${name}`);
    for (const heading of HEADINGS) {
      assert.ok(lines.some((line) => line.startsWith(heading)));
    }
  });
}
