/**
 * Extracts the part of a configuration that agents need, so that an agent downloads a few kilobytes per
 * change and not the whole file.
 */
import type { OperatorConfiguration } from '@figjunction/config';
import type { AgentSlice, ConfigurationRevision } from '@figjunction/types';

export function buildAgentSlice(
  revision: ConfigurationRevision,
  configuration: OperatorConfiguration,
): AgentSlice {
  return {
    revision,
    services: configuration.services.map((service) => ({
      service: service.name,
      slotsPerInstance: service.slotsPerInstance,
      connectionsPerInstance: service.connectionsPerInstance,
      timeoutMs: service.timeoutMs,
    })),
    kinds: configuration.batchKinds.map((kind) => ({
      kind: kind.name,
      urgency: kind.urgency,
      declaredSize: kind.size,
      lossWeight: kind.lossWeight,
      checkpointable: kind.checkpointable,
    })),
    classes: configuration.urgencyClasses.map((urgencyClass) => ({
      urgency: urgencyClass.name,
      rank: urgencyClass.rank,
      guaranteedShare: urgencyClass.guaranteedShare,
    })),
    guards: configuration.guards,
  };
}
