/**
 * Checkpoints of the fake worker in the platform's object store.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';
import { HttpClient, parseJsonAnswer } from '@figjunction/http';

interface Checkpoint {
  taskId: string;
  workDoneMs: number;
}

const TIMEOUT_MS = 5_000;

export class CheckpointStore {
  private readonly client = new HttpClient();

  constructor(private readonly platformAddress: string) {}

  close(): void {
    this.client.close();
  }

  async write(key: string, checkpoint: Checkpoint): Promise<void> {
    const body = JSON.stringify(checkpoint);
    await this.exchange(key, 'PUT', body);
  }

  /** Work done at the checkpoint. */
  async read(key: string): Promise<number> {
    const checkpoint = await this.exchange<Checkpoint>(key, 'GET', null);
    return checkpoint.workDoneMs;
  }

  private async exchange<Result>(
    key: string,
    method: string,
    body: string | null,
  ): Promise<Result> {
    const url = `${this.platformAddress}/objects/${encodeURIComponent(key)}`;
    try {
      const answer = await this.client.request(url, { method, body, timeoutMs: TIMEOUT_MS });
      return parseJsonAnswer<Result>(url, answer);
    } catch (error) {
      throw new FigjunctionError(`checkpoint ${key} cannot be reached`, {
        code: ErrorCode.Unavailable,
        cause: error as Error,
      });
    }
  }
}
