/**
 * The object store over HTTP (section 16.2 of the design).
 */
import { HttpClient } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import type { HttpPlatformOptions } from './http-table-service.js';
import { ObjectStore } from './object-store.js';
import { CallEffect, lostAnswer, refusal } from './platform-call.js';

const DEFAULT_TIMEOUT_MS = 10_000;
const NOT_FOUND_STATUS = 404;
const FIRST_ERROR_STATUS = 300;

export class HttpObjectStore extends ObjectStore {
  private readonly client: HttpClient;

  private readonly timeoutMs: number;

  constructor(private readonly options: HttpPlatformOptions) {
    super();
    this.client = options.client ?? new HttpClient();
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  close(): void {
    this.client.close();
  }

  override async put(key: string, body: Buffer): Promise<void> {
    const answer = await this.send('PUT', key, CallEffect.Write, body);
    if (answer.status >= FIRST_ERROR_STATUS) {
      throw refusal(`storing object ${key}`, CallEffect.Write, answer);
    }
  }

  override async get(key: string): Promise<Buffer | null> {
    const answer = await this.send('GET', key, CallEffect.Read, null);
    if (answer.status === NOT_FOUND_STATUS) {
      return null;
    }
    if (answer.status >= FIRST_ERROR_STATUS) {
      throw refusal(`reading object ${key}`, CallEffect.Read, answer);
    }
    return answer.body;
  }

  override async remove(key: string): Promise<void> {
    const answer = await this.send('DELETE', key, CallEffect.Write, null);
    if (answer.status >= FIRST_ERROR_STATUS && answer.status !== NOT_FOUND_STATUS) {
      throw refusal(`removing object ${key}`, CallEffect.Write, answer);
    }
  }

  private async send(
    method: string,
    key: string,
    effect: CallEffect,
    body: Buffer | null,
  ): Promise<HttpAnswer> {
    const path = key.split('/').map(encodeURIComponent).join('/');
    const url = `${this.options.address}/objects/${path}`;
    try {
      return await this.client.request(url, { method, body, timeoutMs: this.timeoutMs });
    } catch (error) {
      throw lostAnswer(`the object store at ${url}`, effect, error);
    }
  }
}
