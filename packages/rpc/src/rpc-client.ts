/**
 * Client for typed JSON-RPC 2.0 calls over HTTP, authenticated with the shared token.
 */
import { JSONRPCClient } from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { HttpClient, HttpClientError, parseJsonAnswer } from '@figjunction/http';
import type { RpcMethod, RpcMethods } from '@figjunction/types';
import { RpcError } from './rpc-error.js';
import { bearerHeader } from './shared-token.js';

export const RPC_PATH = '/rpc';

export interface RpcCallOptions {
  timeoutMs?: number;
  /** Opens a new connection instead of reusing a pooled one, which may no longer respond. */
  newConnection?: boolean;
  /** Additional request headers, such as a trace context. */
  headers?: Record<string, string>;
  signal?: AbortSignal;
}

export interface RpcClientOptions {
  sharedToken: string;
  connectionsMaximum?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;

export class RpcClient {
  private readonly http: HttpClient;

  private readonly sharedToken: string;

  /** Called after each response with the body sizes in bytes, to account for traffic per address. */
  onTraffic: (address: string, sentBytes: number, receivedBytes: number) => void = () => {};

  constructor(options: RpcClientOptions) {
    this.sharedToken = options.sharedToken;
    this.http = new HttpClient({ connectionsMaximum: options.connectionsMaximum });
  }

  close(): void {
    this.http.close();
  }

  /**
   * Calls a method of the process at `address` (`http://<ip>:<port>`) and returns its result. Throws an
   * `RpcError` when the call fails, with the code from the server's error or of the transport failure.
   */
  async call<Method extends RpcMethod>(
    address: string,
    method: Method,
    parameters: RpcMethods[Method]['parameters'],
    options: RpcCallOptions = {},
  ): Promise<RpcMethods[Method]['result']> {
    let requestSent = true;
    const client = new JSONRPCClient(async (payload) => {
      try {
        client.receive(await this.post(address, JSON.stringify(payload), options));
      } catch (error) {
        requestSent = !(error instanceof HttpClientError) || error.requestSent;
        throw error;
      }
    });
    try {
      return (await client.request(method, parameters)) as RpcMethods[Method]['result'];
    } catch (error) {
      throw new RpcError(`${method} to ${address} failed`, {
        cause: toError(error),
        requestSent,
        code: rpcErrorCode(error),
      });
    }
  }

  private async post(
    address: string,
    body: string,
    options: RpcCallOptions,
  ): Promise<JSONRPCResponse> {
    const { timeoutMs = DEFAULT_TIMEOUT_MS, newConnection = false, headers = {}, signal } = options;
    const url = `${address}${RPC_PATH}`;
    const response = await this.http.request(url, {
      method: 'POST',
      headers: {
        ...headers,
        'content-type': 'application/json',
        authorization: bearerHeader(this.sharedToken),
      },
      body,
      timeoutMs,
      newConnection,
      signal,
    });
    this.onTraffic(address, Buffer.byteLength(body), response.body.length);
    return parseJsonAnswer<JSONRPCResponse>(url, response);
  }
}

/** Returns the code from the data of a JSON-RPC error, or the code of a transport error. */
function rpcErrorCode(error: unknown): ErrorCode {
  const { data } = error as { data?: { code?: ErrorCode } };
  return data?.code ?? errorCodeOf(error);
}
