/**
 * HTTP client for calls to the platform. It returns responses with an accepted status; any other result is a
 * `PlatformError`, whose code tells whether the call may have taken effect.
 */
import { HttpClient } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import { createNoResponseError, createStatusError } from './platform-call.js';
import type { CallEffect } from './platform-call.js';

export interface HttpPlatformOptions {
  /** `http://<ip>:<port>`. */
  address: string;
  /** Timeout of each call. */
  timeoutMs?: number;
}

export interface PlatformCall {
  /** Short description for error messages, such as `reading rows`. */
  operation: string;
  effect: CallEffect;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Buffer | string | null;
  /** Error statuses that are returned to the caller instead of thrown. */
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
    const { operation, effect, acceptedStatuses = [] } = call;
    const response = await this.send(call);
    if (response.status >= FIRST_ERROR_STATUS && !acceptedStatuses.includes(response.status)) {
      throw createStatusError(operation, effect, response);
    }
    return response;
  }

  private async send(call: PlatformCall): Promise<HttpAnswer> {
    const { operation, effect, method, path, headers = {}, body = null } = call;
    const { address, timeoutMs } = this.options;
    const url = `${address}${path}`;
    try {
      return await this.http.request(url, { method, headers, body, timeoutMs });
    } catch (error) {
      throw createNoResponseError(`${operation} at ${url}`, effect, error);
    }
  }
}
