import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { formatProblem } from './configuration-problem.js';
import { createConfigurationSchema } from './configuration-schema.js';
import { parseOperatorConfiguration } from './parse-operator-configuration.js';

const EXAMPLES = new URL('../../../examples/', import.meta.url);
const SAMPLE_TOKEN = /The hash of "(?<token>[^"]+)"\.[^\n]*\n\s*"sha256": "(?<hash>[^"]+)"/gu;

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), 'utf8');
}

for (const name of ['karaca.jsonc', 'pindos.jsonc']) {
  test(`${name} is valid, declares 11 instances and documents its tokens`, () => {
    const text = readExample(name);
    const parsed = parseOperatorConfiguration(text, name);
    assert.ok('configuration' in parsed, JSON.stringify(parsed));
    assert.equal(parsed.configuration.services[0]?.instances, 11);
    const tokens = [...text.matchAll(SAMPLE_TOKEN)];
    assert.equal(tokens.length, 4);
    for (const { groups } of tokens) {
      const hash = createHash('sha256')
        .update(groups?.token ?? '')
        .digest('hex');
      assert.equal(groups?.hash, hash, `the hash of ${groups?.token} is out of date`);
    }
  });
}

test('the committed JSON Schema is current', () => {
  const committed: unknown = JSON.parse(readExample('figjunction.schema.json'));
  assert.deepEqual(
    committed,
    JSON.parse(JSON.stringify(createConfigurationSchema())),
    'run: npm run build && node packages/config/dist/write-schema.js',
  );
});

test('the sample files name their schema, so that editors complete fields', () => {
  const text = readExample('karaca.jsonc').replace('"./figjunction.schema.json"', '7');
  const parsed = parseOperatorConfiguration(text, 'karaca.jsonc');
  assert.ok('problems' in parsed);
  assert.deepEqual(parsed.problems.map(formatProblem), [
    'karaca.jsonc:9:14: $schema: found 7; allowed: a value of type string',
  ]);
});
