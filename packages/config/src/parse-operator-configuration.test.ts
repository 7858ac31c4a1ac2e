import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatProblem } from './configuration-problem.js';
import {
  CONFIGURATION_BYTES_MAXIMUM,
  parseOperatorConfiguration,
} from './parse-operator-configuration.js';

const CLASSES = '"urgencyClasses": [{"name": "now", "rank": 0, "guaranteedShare": 0.7}]';
const SIZE = '{"processorMillicores": 1, "memoryMegabytes": 1}';
const HASH = 'a'.repeat(64);

function problemsOf(text: string): string[] {
  const parsed = parseOperatorConfiguration(text, 'f.jsonc');
  return 'problems' in parsed ? parsed.problems.map(formatProblem) : [];
}

interface FaultCase {
  fault: string;
  text: string;
  expected: string[];
}

const FAULT_CASES: FaultCase[] = [
  {
    fault: 'an empty file',
    text: '',
    expected: [
      'f.jsonc:1:1: found the end of the file; allowed: JSON with comments (value expected)',
    ],
  },
  {
    fault: 'a truncated file',
    text: '{\n  "urgencyClasses": [',
    expected: [
      'f.jsonc:2:22: found the end of the file; allowed: JSON with comments (close bracket expected)',
      'f.jsonc:2:22: found the end of the file; allowed: JSON with comments (close brace expected)',
    ],
  },
  {
    fault: 'nesting that would exhaust the stack',
    text: '['.repeat(500_000),
    expected: ['f.jsonc:1:65: found more than 64 nested levels; allowed: at most 64 nested levels'],
  },
  {
    fault: 'a file of another type',
    text: 'null',
    expected: ['f.jsonc:1:1: found null; allowed: a value of type object'],
  },
  {
    fault: 'a key that is given twice, of which a parser would silently drop one',
    text: `{${CLASSES},\n"weights": {}, "weights": {}}`,
    expected: ['f.jsonc:2:16: weights: found "weights" a second time; allowed: each key once'],
  },
  {
    fault: 'several wrong fields, which are reported at once',
    text: '{"urgencyClasses": [{"name": "N", "rank": 1.5, "guaranteedShare": 2, "x": 1}],\n"services": "no"}',
    expected: [
      'f.jsonc:1:30: urgencyClasses[0].name: found "N"; allowed: use lower-case letters, digits and hyphens',
      'f.jsonc:1:43: urgencyClasses[0].rank: found 1.5; allowed: a whole number',
      'f.jsonc:1:67: urgencyClasses[0].guaranteedShare: found 2; allowed: at most 1',
      'f.jsonc:1:70: urgencyClasses[0].x: found unknown field "x"; allowed: the fields name, rank, guaranteedShare',
      'f.jsonc:2:13: services: found "no"; allowed: a value of type array',
    ],
  },
  {
    fault: 'an absurd size',
    text: `{${CLASSES}, "batchKinds": [{"name": "k", "urgency": "now", "size":\n{"processorMillicores": 1e300, "memoryMegabytes": -1}}]}`,
    expected: [
      'f.jsonc:2:25: batchKinds[0].size.processorMillicores: found 1e300; allowed: at most 1024000',
      'f.jsonc:2:51: batchKinds[0].size.memoryMegabytes: found -1; allowed: at least 0',
    ],
  },
  {
    fault: 'a token in place of its hash, which must not be shown',
    text: `{${CLASSES},\n"operators": [{"name": "o", "tokens": [{"sha256": "hunter2"}]}]}`,
    expected: [
      'f.jsonc:2:51: operators[0].tokens[0].sha256: found a value of 9 characters that is not shown; allowed: use the SHA-256 of the token, 64 hexadecimal digits',
    ],
  },
  {
    fault: 'an urgency class that does not exist',
    text: `{${CLASSES},\n"batchKinds": [{"name": "k", "urgency": "later", "size": ${SIZE}}],\n"teams": [{"name": "t", "urgencies": ["now", "never"]}]}`,
    expected: [
      'f.jsonc:2:41: batchKinds[0].urgency: found "later"; allowed: an urgency class of this file: now',
      'f.jsonc:3:46: teams[0].urgencies[1]: found "never"; allowed: an urgency class of this file: now',
    ],
  },
  {
    fault: 'a service and a kind of one name, which share a field of the task row',
    text: `{${CLASSES}, "services": [{"name": "k", "urgency": "now", "instances": 1, "size": ${SIZE}}],\n"batchKinds": [{"name": "k", "urgency": "now", "size": ${SIZE}}]}`,
    expected: [
      'f.jsonc:2:25: batchKinds[0].name: found "k"; allowed: a value that services[0].name does not have already',
    ],
  },
  {
    fault: 'a token that would identify two teams',
    text: `{${CLASSES}, "teams": [{"name": "a", "urgencies": ["now"], "tokens": [{"sha256": "${HASH}"}]},\n{"name": "b", "urgencies": ["now"], "tokens": [{"sha256": "${HASH}"}]}]}`,
    expected: [
      'f.jsonc:2:59: teams[1].tokens[0].sha256: found a value of 66 characters that is not shown; allowed: a value that teams[0].tokens[0].sha256 does not have already',
    ],
  },
  {
    fault: 'shares that add up to more than 1',
    text: '{"urgencyClasses": [{"name": "a", "rank": 0, "guaranteedShare": 0.7}, {"name": "b", "rank": 1, "guaranteedShare": 0.4}]}',
    expected: [
      'f.jsonc:1:20: urgencyClasses: found guaranteed shares that add up to 1.1; allowed: a sum of at most 1',
    ],
  },
  {
    fault: 'guards that would relax above the point where they act',
    text: `{${CLASSES}, "guards":\n{"relaxBelowSlowdown": 1.4}}`,
    expected: [
      'f.jsonc:2:24: guards.relaxBelowSlowdown: found 1.4; allowed: at most guards.actAboveSlowdown, which is 1.3',
    ],
  },
  {
    fault: 'a file over the size limit',
    text: `/*${'x'.repeat(CONFIGURATION_BYTES_MAXIMUM)}*/{}`,
    expected: ['f.jsonc:1:1: found 1048582 bytes; allowed: at most 1048576 bytes'],
  },
];

for (const { fault, text, expected } of FAULT_CASES) {
  test(`refuses ${fault}`, () => {
    assert.deepEqual(problemsOf(text), expected);
  });
}

test('accepts comments, trailing commas and shares whose binary sum exceeds 1 by rounding', () => {
  const shares = [0.1, 0.2, 0.7].map(
    (share, rank) => `{"name": "c${rank}", "rank": ${rank}, "guaranteedShare": ${share}}`,
  );
  const text = `// classes\n{"urgencyClasses": [${shares.join(',')},]}`;
  assert.deepEqual(problemsOf(text), []);
});

test('reports at most 100 problems of a file that is wrong everywhere', () => {
  const text = `{${CLASSES}, "approvedProposals": [${Array(10_000).fill('1').join(',\n')}]}`;
  assert.equal(problemsOf(text).length, 100);
});

test(
  'does not block the process on a file of nothing but unknown fields',
  { timeout: 10_000 },
  () => {
    const fields = Array.from({ length: 80_000 }, (_, index) => `"k${index}": 1`);
    assert.equal(problemsOf(`{${CLASSES}, ${fields.join(',')}}`).length, 100);
  },
);
