/**
 * HTTP client of the object store. The protocol is in section 16.2 of the design.
 */
import { ObjectStore } from './object-store.js';
import { CallEffect } from './platform-call.js';
import { PlatformClient } from './platform-client.js';
import type { HttpPlatformOptions } from './platform-client.js';

const DEFAULT_TIMEOUT_MS = 10_000;
const NOT_FOUND_STATUS = 404;

export class HttpObjectStore extends ObjectStore {
  private readonly client: PlatformClient;

  constructor({ address, timeoutMs = DEFAULT_TIMEOUT_MS }: HttpPlatformOptions) {
    super();
    this.client = new PlatformClient({ address, timeoutMs });
  }

  close(): void {
    this.client.close();
  }

  override async put(key: string, body: Buffer): Promise<void> {
    await this.client.call({
      operation: `storing object ${key}`,
      effect: CallEffect.Write,
      method: 'PUT',
      path: objectPath(key),
      body,
    });
  }

  override async get(key: string): Promise<Buffer | null> {
    const response = await this.client.call({
      operation: `reading object ${key}`,
      effect: CallEffect.Read,
      method: 'GET',
      path: objectPath(key),
      acceptedStatuses: [NOT_FOUND_STATUS],
    });
    return response.status === NOT_FOUND_STATUS ? null : response.body;
  }

  override async remove(key: string): Promise<void> {
    await this.client.call({
      operation: `removing object ${key}`,
      effect: CallEffect.Write,
      method: 'DELETE',
      path: objectPath(key),
      acceptedStatuses: [NOT_FOUND_STATUS],
    });
  }
}

function objectPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}
