/**
 * One call to the platform over HTTP: an answer the caller accepts, or a `PlatformError` that tells whether
 * the call may have had an effect.
 */
import { HttpClient } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import { lostAnswer, refusal } from './platform-call.js';
import type { CallEffect } from './platform-call.js';

export interface HttpPlatformOptions {
  /** `http://<ip>:<port>`. */
  address: string;
  timeoutMs?: number;
}

export interface PlatformCall {
  /** What the call does, for errors: `reading rows`. */
  purpose: string;
  effect: CallEffect;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Buffer | string | null;
  /** Error statuses that the caller handles itself. */
  acceptedStatuses?: number[];
}

const FIRST_ERROR_STATUS = 300;

export class PlatformClient {
  private readonly http = new HttpClient();

  constructor(private readonly options: Required<HttpPlatformOptions>) {}

  close(): void {
    this.http.close();
  }

  async call(call: PlatformCall): Promise<HttpAnswer> {
    const { purpose, effect, acceptedStatuses = [] } = call;
    const answer = await this.send(call);
    if (answer.status >= FIRST_ERROR_STATUS && !acceptedStatuses.includes(answer.status)) {
      throw refusal(purpose, effect, answer);
    }
    return answer;
  }

  private async send(call: PlatformCall): Promise<HttpAnswer> {
    const { purpose, effect, method, path, headers = {}, body = null } = call;
    const { address, timeoutMs } = this.options;
    const url = `${address}${path}`;
    try {
      return await this.http.request(url, { method, headers, body, timeoutMs });
    } catch (error) {
      throw lostAnswer(`${purpose} at ${url}`, effect, error);
    }
  }
}
