/**
 * The queue of each service at this entry.
 */
import type { ServiceConfiguration } from '@figjunction/config';
import type { ServiceName } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { InstanceStatsTable } from './instance-stats.js';
import { ServiceQueue } from './service-queue.js';

export class ServiceQueues {
  private readonly queues = new Map<ServiceName, ServiceQueue>();

  constructor(
    private readonly context: EntryContext,
    private readonly stats: InstanceStatsTable,
  ) {}

  of(service: ServiceConfiguration): ServiceQueue {
    let queue = this.queues.get(service.name);
    if (queue === undefined) {
      queue = this.create(service);
      this.queues.set(service.name, queue);
    }
    return queue;
  }

  private create(service: ServiceConfiguration): ServiceQueue {
    const { context } = this;
    const { latencies } = this.stats.service(service.name);
    return new ServiceQueue({
      clock: context.clock,
      fair: context.settings.policy.fairness,
      maximum: () => this.configured(service).queueMaximum,
      classes: () =>
        (context.configuration.current()?.configuration.urgencyClasses ?? []).map((one) => ({
          urgency: one.name,
          rank: one.rank,
          guaranteedShare: one.guaranteedShare,
        })),
      usualMs: () => latencies.percentile(50),
      entries: () => context.peers.live().length,
    });
  }

  /** The service as the configuration in force has it. */
  private configured(service: ServiceConfiguration): ServiceConfiguration {
    const services = this.context.configuration.current()?.configuration.services ?? [];
    return services.find(({ name }) => name === service.name) ?? service;
  }
}
