/**
 * Keeps the configuration up to date: polls its table row, fetches bodies from the object store or from
 * another entry, and verifies the hash of every body.
 */
import { createHash } from 'node:crypto';
import { parseOperatorConfiguration } from '@figjunction/config';
import { ErrorCode, toError } from '@figjunction/errors';
import { CONFIGURATION_KEY, RpcMethod, configurationObjectKey } from '@figjunction/types';
import type {
  ConfigurationGetParameters,
  ConfigurationGetResult,
  ConfigurationRevision,
  ConfigurationRow,
} from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';
import { buildAgentSlice } from './agent-slice.js';

const WAITING_FOR_CONFIGURATION = 'a configuration (the table and all peers are unreachable)';

const PEER_TIMEOUT_MS = 1_000;

export class ConfigurationFollower {
  constructor(private readonly context: EntryContext) {}

  /** Reads the row and adopts its revision. If the table is unavailable, fetches from other entries. */
  async poll(): Promise<void> {
    const { clock, configuration, table, waitingFor } = this.context;
    const readStartedAt = clock.now();
    try {
      const [row] = await table.read<ConfigurationRow>([CONFIGURATION_KEY]);
      if (row) {
        await this.adoptRow(row.value);
      }
      if (configuration.revision() === (row?.value.revision ?? 0)) {
        configuration.confirm(readStartedAt);
      }
      waitingFor.delete(WAITING_FOR_CONFIGURATION);
    } catch (error) {
      this.context.metrics.count('configuration_poll_failures_total');
      if (configuration.current() === null) {
        await this.fetchFromPeers(this.context.settings.peers);
        this.recordWaiting();
      }
      throw new EntryError('the configuration could not be polled', {
        code: ErrorCode.Unavailable,
        cause: toError(error),
      });
    }
  }

  /** Fetches and adopts a newer revision that another entry announced. */
  async followPeer(address: string, revision: ConfigurationRevision): Promise<void> {
    if (revision > this.context.configuration.revision()) {
      await this.fetchFromPeer(address, revision);
    }
  }

  /** Handles `configuration.get`. Throws `EntryError` with `NotFound` for a newer revision. */
  handleGet(parameters: ConfigurationGetParameters): ConfigurationGetResult {
    const inForce = this.context.configuration.current();
    if (inForce === null || inForce.revision < parameters.revision) {
      throw new EntryError(`revision ${parameters.revision} is not known at this entry yet`, {
        code: ErrorCode.NotFound,
      });
    }
    const { revision, bodyHash, body, configuration } = inForce;
    return {
      revision,
      bodyHash,
      body: parameters.slice ? null : body,
      slice: parameters.slice ? buildAgentSlice(revision, configuration) : null,
    };
  }

  private async adoptRow(row: ConfigurationRow): Promise<void> {
    if (row.revision <= this.context.configuration.revision()) {
      return;
    }
    const stored = await this.context.objects
      .get(configurationObjectKey(row.bodyHash))
      .catch(() => null);
    if (stored === null) {
      const peers = this.context.peers.others().map((peer) => peer.address);
      await this.fetchFromPeers(peers, row.revision);
      return;
    }
    this.adoptBody(row.revision, row.bodyHash, stored.toString('utf8'));
  }

  private async fetchFromPeers(
    addresses: string[],
    revision: ConfigurationRevision = 1,
  ): Promise<void> {
    await Promise.all(
      addresses.map((address) => this.fetchFromPeer(address, revision).catch(() => {})),
    );
  }

  private async fetchFromPeer(address: string, revision: ConfigurationRevision): Promise<void> {
    const result = await this.context.rpc.call(
      address,
      RpcMethod.ConfigurationGet,
      { revision, slice: false },
      { timeoutMs: PEER_TIMEOUT_MS },
    );
    this.adoptBody(result.revision, result.bodyHash, result.body ?? '');
  }

  private adoptBody(revision: ConfigurationRevision, bodyHash: string, body: string): void {
    const actualHash = createHash('sha256').update(body).digest('hex');
    if (actualHash !== bodyHash) {
      throw new EntryError(`the body of revision ${revision} does not match its hash`);
    }
    const parsed = parseOperatorConfiguration(body, `revision ${revision}`);
    if ('problems' in parsed) {
      throw new EntryError(`the body of revision ${revision} is not valid for this version`);
    }
    const { configuration, logger, waitingFor } = this.context;
    if (configuration.accept({ revision, bodyHash, body, configuration: parsed.configuration })) {
      waitingFor.delete(WAITING_FOR_CONFIGURATION);
      logger.info({ revision }, 'configuration in force');
    }
  }

  private recordWaiting(): void {
    const { configuration, logger, waitingFor } = this.context;
    if (configuration.current() === null && !waitingFor.has(WAITING_FOR_CONFIGURATION)) {
      waitingFor.add(WAITING_FOR_CONFIGURATION);
      logger.warn({ waitingFor: WAITING_FOR_CONFIGURATION }, 'waiting for a configuration');
    }
  }
}
