/**
 * HTTP route that authenticates JSON-RPC 2.0 requests and dispatches them to handlers.
 */
import { JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';
import type { JSONRPCRequest } from 'json-rpc-2.0';
import { ErrorCode, FigjunctionError } from '@figjunction/errors';
import { HttpServerError, readJson, sendCompactJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import type { RpcMethod, RpcMethods } from '@figjunction/types';
import { RPC_PATH } from './rpc-client.js';
import { bearerToken, equalsInConstantTime } from './shared-token.js';

/** Data about the call that handlers receive in addition to the parameters. */
export interface RpcCallContext {
  headers: Record<string, string | string[] | undefined>;
}

/** Handlers by method name; a server implements only some of the methods. */
export type RpcHandlers = {
  [Method in RpcMethod]?: (
    parameters: RpcMethods[Method]['parameters'],
    context: RpcCallContext,
  ) => Promise<RpcMethods[Method]['result']> | RpcMethods[Method]['result'];
};

export interface RpcRouteOptions {
  sharedToken: string;
  handlers: RpcHandlers;
  /** Maximum size of a request body in bytes. */
  maximumBytes?: number;
}

const DEFAULT_MAXIMUM_BYTES = 12 * 1024 * 1024;
const APPLICATION_ERROR_CODE = -32_000;

/**
 * Creates the route. Requests without the shared token fail with status 401. An error thrown by a handler
 * is returned as a JSON-RPC error; only a `FigjunctionError` exposes its message and code.
 */
export function createRpcRoute(options: RpcRouteOptions): Route {
  const { sharedToken, handlers, maximumBytes = DEFAULT_MAXIMUM_BYTES } = options;
  const server = new JSONRPCServer<RpcCallContext>({ errorListener: () => {} });
  for (const [method, handler] of Object.entries(handlers)) {
    server.addMethod(method, async (parameters, context) => {
      try {
        return await (handler as (parameters: unknown, callContext: RpcCallContext) => unknown)(
          parameters,
          context,
        );
      } catch (error) {
        throw toJsonRpcError(error);
      }
    });
  }
  return {
    method: 'POST',
    pattern: new RegExp(`^${RPC_PATH}$`, 'u'),
    async handle({ request, response }: RouteMatch): Promise<void> {
      const token = bearerToken(request.headers.authorization);
      if (token === null || !equalsInConstantTime(token, sharedToken)) {
        throw new HttpServerError(401, 'the shared token is missing or wrong', {
          code: ErrorCode.Unauthenticated,
        });
      }
      const payload = (await readJson(request, maximumBytes)) as JSONRPCRequest;
      const rpcResponse = await server.receive(payload, { headers: request.headers });
      sendCompactJson(response, 200, rpcResponse);
    },
  };
}

function toJsonRpcError(error: unknown): JSONRPCErrorException {
  if (error instanceof FigjunctionError) {
    return new JSONRPCErrorException(error.message, APPLICATION_ERROR_CODE, { code: error.code });
  }
  return new JSONRPCErrorException('internal error', APPLICATION_ERROR_CODE, {
    code: ErrorCode.Internal,
  });
}
