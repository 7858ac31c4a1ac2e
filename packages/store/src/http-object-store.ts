/**
 * The object store over HTTP (section 16.2 of the design).
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
      purpose: `storing object ${key}`,
      effect: CallEffect.Write,
      method: 'PUT',
      path: objectPath(key),
      body,
    });
  }

  override async get(key: string): Promise<Buffer | null> {
    const answer = await this.client.call({
      purpose: `reading object ${key}`,
      effect: CallEffect.Read,
      method: 'GET',
      path: objectPath(key),
      acceptedStatuses: [NOT_FOUND_STATUS],
    });
    return answer.status === NOT_FOUND_STATUS ? null : answer.body;
  }

  override async remove(key: string): Promise<void> {
    await this.client.call({
      purpose: `removing object ${key}`,
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
