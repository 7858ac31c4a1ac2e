/**
 * A small configuration for tests of the task systems. It holds no tests itself.
 */
import { operatorConfigurationSchema } from '@figjunction/config';
import type { OperatorConfiguration } from '@figjunction/config';

export function configurationWith(overrides: Record<string, unknown> = {}): OperatorConfiguration {
  return operatorConfigurationSchema.parse({
    urgencyClasses: [
      { name: 'urgent', rank: 0, guaranteedShare: 0.5 },
      { name: 'overnight', rank: 2, guaranteedShare: 0.1 },
    ],
    batchKinds: [
      {
        name: 'labels',
        urgency: 'overnight',
        size: { processorMillicores: 1_000, memoryMegabytes: 512 },
      },
    ],
    teams: [{ name: 'kitchen', urgencies: ['urgent', 'overnight'] }],
    ...overrides,
  });
}
