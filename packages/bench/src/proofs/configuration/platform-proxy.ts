/**
 * Stands between the processes and the platform and can refuse reads of the configuration row alone.
 * Everything else goes on working, so that only the bound on confirmations holds back placements.
 */
import { HttpClient, HttpServer, readBody, sendJson } from '@figjunction/http';
import type { RouteMatch } from '@figjunction/http';
import { CONFIGURATION_KEY } from '@figjunction/types';

const BODY_BYTES_MAXIMUM = 16 * 1024 * 1024;
const STATUS_OUTAGE = 503;

export class PlatformProxy {
  address = '';

  hidesConfiguration = false;

  private readonly http = new HttpClient();

  private readonly server: HttpServer;

  constructor(private readonly targetAddress: () => string) {
    this.server = new HttpServer({
      routes: ['GET', 'PUT', 'POST', 'DELETE'].map((method) => ({
        method,
        pattern: /^\//u,
        handle: (match) => this.forward(match),
      })),
    });
  }

  async listen(): Promise<void> {
    this.address = await this.server.listen();
  }

  async close(): Promise<void> {
    this.server.closeNow();
    await this.server.close();
    this.http.close();
  }

  private async forward({ request, response }: RouteMatch): Promise<void> {
    const { method, url = '/' } = request;
    const body = await readBody(request, BODY_BYTES_MAXIMUM);
    if (this.hidesConfiguration && readsConfiguration(url, body)) {
      sendJson(response, STATUS_OUTAGE, { code: 'unavailable', message: 'the row is hidden' });
      return;
    }
    const contentType = request.headers['content-type'];
    const answer = await this.http.request(`${this.targetAddress()}${url}`, {
      ...(method === undefined ? {} : { method }),
      headers: contentType === undefined ? {} : { 'content-type': contentType },
      body: body.length === 0 ? null : body,
    });
    response.writeHead(answer.status, {
      'content-type': answer.headers['content-type'] ?? 'application/octet-stream',
      'content-length': answer.body.length,
    });
    response.end(answer.body);
  }
}

function readsConfiguration(url: string, body: Buffer): boolean {
  return url === '/table/read' && body.includes(CONFIGURATION_KEY);
}
