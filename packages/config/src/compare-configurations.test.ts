import assert from 'node:assert/strict';
import { test } from 'node:test';
import { compareConfigurations } from './compare-configurations.js';
import { operatorConfigurationSchema } from './operator-configuration.js';
import type { OperatorConfiguration } from './operator-configuration.js';

const SIZE = { processorMillicores: 1, memoryMegabytes: 1 };

function configuration(fields: object): OperatorConfiguration {
  return operatorConfigurationSchema.parse({
    urgencyClasses: [{ name: 'now', rank: 0, guaranteedShare: 0.5 }],
    ...fields,
  });
}

function describe(before: OperatorConfiguration | null, after: OperatorConfiguration): string[] {
  return compareConfigurations(before, after).map(
    (difference) =>
      `${difference.kind} ${difference.path} ${difference.before} ${difference.after}`,
  );
}

const label = { name: 'label', urgency: 'now', instances: 11, size: SIZE };
const menu = { name: 'menu', urgency: 'now', size: SIZE };

test('names only what differs, also deep inside an entry of a list', () => {
  const before = configuration({ services: [label], batchKinds: [menu] });
  const after = configuration({
    services: [{ ...label, instances: 12, size: { ...SIZE, memoryMegabytes: 2 } }],
    batchKinds: [menu],
    approvedProposals: ['p-1'],
  });
  assert.deepEqual(describe(before, after), [
    'changed services[label].instances 11 12',
    'changed services[label].size.memoryMegabytes 1 2',
    'changed approvedProposals [] ["p-1"]',
  ]);
});

test('sees a moved entry as unchanged and a renamed one as removed and added', () => {
  const second = { ...label, name: 'proof' };
  const before = configuration({ services: [label, second] });
  assert.deepEqual(describe(before, configuration({ services: [second, label] })), []);
  const renamed = describe(before, configuration({ services: [label, { ...second, name: 'x' }] }));
  assert.deepEqual(
    renamed.map((line) => line.slice(0, 20)),
    ['removed services[pro', 'added services[x] nu'],
  );
});

test('does not report a field that is written out with its default', () => {
  const before = configuration({ services: [label] });
  const after = configuration({ $schema: './x', services: [{ ...label, timeoutMs: 5_000 }] });
  assert.deepEqual(describe(before, after), []);
});

test('shows a first configuration as added', () => {
  const kinds = new Set(compareConfigurations(null, configuration({})).map(({ kind }) => kind));
  assert.deepEqual([...kinds], ['added']);
});
