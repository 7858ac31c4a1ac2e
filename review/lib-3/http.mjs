/** Small helpers for the stand-ins: bodies of requests, answers and calls over HTTP. */
import { Agent, request as sendRequest } from 'node:http';

const agent = new Agent({ keepAlive: true, maxSockets: 50 });

export function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    request.on('error', reject);
  });
}

export function sendJson(response, status, body) {
  if (response.destroyed) {
    return;
  }
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Resolves with status 0 if there is no complete answer in time. */
export function call({ address, method, path, body = null, headers = {}, timeoutMs = 3_000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const options = { host, port, method, path, headers, agent };
    if (body !== null) {
      options.headers = { 'content-type': 'application/json', ...headers };
    }
    const request = sendRequest(options);
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    const finish = (answer) => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', () => finish({ status: 0, body: '' }));
    request.on('response', (response) => {
      readBody(response).then(
        (text) => finish({ status: response.statusCode, body: text }),
        () => finish({ status: 0, body: '' }),
      );
      response.on('aborted', () => finish({ status: 0, body: '' }));
    });
    request.end(body === null ? undefined : JSON.stringify(body));
  });
}
