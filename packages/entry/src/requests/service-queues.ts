/**
 * Creates and stores the queue of each service at this entry.
 */
import type { ServiceConfiguration } from '@figjunction/config';
import type { ServiceName } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { InstanceStatsTable } from './instance-stats.js';
import { ServiceQueue } from './service-queue.js';

/** Fraction of the median latency. A slot becomes free several times within one median latency. */
const RETRY_DELAY_FRACTION = 0.25;

const RETRY_DELAY_MS_MINIMUM = 5;
const RETRY_DELAY_MS_MAXIMUM = 100;

export class ServiceQueues {
  private readonly queues = new Map<ServiceName, ServiceQueue>();

  constructor(
    private readonly context: EntryContext,
    private readonly stats: InstanceStatsTable,
  ) {}

  getOrCreate(service: ServiceConfiguration): ServiceQueue {
    let queue = this.queues.get(service.name);
    if (queue === undefined) {
      queue = this.create(service);
      this.queues.set(service.name, queue);
    }
    return queue;
  }

  private create(service: ServiceConfiguration): ServiceQueue {
    const { context } = this;
    const { latencies } = this.stats.getServiceStats(service.name);
    return new ServiceQueue({
      clock: context.clock,
      isFair: context.settings.policy.fairness,
      maximum: () => this.getCurrentConfiguration(service).queueMaximum,
      classes: () =>
        (context.configuration.current()?.configuration.urgencyClasses ?? []).map(
          (urgencyClass) => ({
            urgency: urgencyClass.name,
            rank: urgencyClass.rank,
            guaranteedShare: urgencyClass.guaranteedShare,
          }),
        ),
      medianLatencyMs: () => latencies.percentile(50),
      getRetryDelayMs: () => {
        const medianLatencyMs = latencies.percentile(50) ?? 0;
        const delayMs = medianLatencyMs * RETRY_DELAY_FRACTION;
        return context.random.jitter(
          Math.min(RETRY_DELAY_MS_MAXIMUM, Math.max(RETRY_DELAY_MS_MINIMUM, delayMs)),
        );
      },
      countEntries: () => context.peers.live().length,
    });
  }

  /** The service in the current configuration, or as it was when it is no longer configured. */
  private getCurrentConfiguration(service: ServiceConfiguration): ServiceConfiguration {
    const services = this.context.configuration.current()?.configuration.services ?? [];
    return services.find(({ name }) => name === service.name) ?? service;
  }
}
