/**
 * HTTP client of the worker, which listens on the VM's loopback interface (section 16.3 of the design).
 */
import { ErrorCode, toError } from '@figjunction/errors';
import { HttpClient, HttpClientError, codeOfStatus } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import type {
  TaskId,
  WorkerCheckpointParameters,
  WorkerCheckpointResult,
  WorkerDescription,
  WorkerLeaseParameters,
  WorkerStartParameters,
  WorkerStopParameters,
  WorkerTask,
  WorkerThrottleParameters,
  WorkerUsage,
} from '@figjunction/types';
import { WorkerError } from './worker-error.js';
import { Worker } from './worker.js';

export interface HttpWorkerOptions {
  /** `http://<ip>:<port>`. */
  address: string;
  timeoutMs?: number;
  /** Timeout of a graceful stop, which waits until the instance has completed its requests. */
  stopTimeoutMs?: number;
  /** Timeout of a start and of a checkpoint, during which the worker accesses the object store. */
  checkpointTimeoutMs?: number;
  /** Shared HTTP client, closed by its owner. */
  client?: HttpClient;
}

const DEFAULT_TIMEOUT_MS = 3_000;
const DEFAULT_STOP_TIMEOUT_MS = 60_000;
const DEFAULT_CHECKPOINT_TIMEOUT_MS = 15_000;
const FIRST_ERROR_STATUS = 300;

/** Statuses that mean that the worker did not execute the command. */
const REFUSAL_STATUSES = [400, 401, 403, 404, 409, 413, 429, 503];

enum Effect {
  Read = 'read',
  Command = 'command',
}

export class HttpWorker extends Worker {
  private readonly client: HttpClient;

  private readonly timeoutMs: number;

  private readonly stopTimeoutMs: number;

  private readonly checkpointTimeoutMs: number;

  constructor(private readonly options: HttpWorkerOptions) {
    super();
    this.client = options.client ?? new HttpClient();
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.stopTimeoutMs = options.stopTimeoutMs ?? DEFAULT_STOP_TIMEOUT_MS;
    this.checkpointTimeoutMs = options.checkpointTimeoutMs ?? DEFAULT_CHECKPOINT_TIMEOUT_MS;
  }

  close(): void {
    this.client.close();
  }

  override describe(): Promise<WorkerDescription> {
    return this.read('/v1/worker');
  }

  override async listTasks(): Promise<WorkerTask[]> {
    const { tasks } = await this.read<{ tasks: WorkerTask[] }>('/v1/tasks');
    return tasks;
  }

  override async start(parameters: WorkerStartParameters): Promise<void> {
    await this.command('/v1/tasks', parameters, this.checkpointTimeoutMs);
  }

  override async extendLeases(parameters: WorkerLeaseParameters): Promise<void> {
    await this.command('/v1/leases', parameters);
  }

  override checkpoint(
    taskId: TaskId,
    parameters: WorkerCheckpointParameters,
  ): Promise<WorkerCheckpointResult> {
    return this.command(taskPath(taskId, 'checkpoint'), parameters, this.checkpointTimeoutMs);
  }

  override async throttle(taskId: TaskId, parameters: WorkerThrottleParameters): Promise<void> {
    await this.command(taskPath(taskId, 'throttle'), parameters);
  }

  override async stop(taskId: TaskId, parameters: WorkerStopParameters): Promise<void> {
    const timeoutMs = parameters.graceful ? this.stopTimeoutMs : this.timeoutMs;
    await this.command(taskPath(taskId, 'stop'), parameters, timeoutMs);
  }

  override readUsage(): Promise<WorkerUsage> {
    return this.read('/v1/usage');
  }

  private read<Result>(path: string): Promise<Result> {
    return this.call(path, Effect.Read, null, this.timeoutMs);
  }

  private command<Result>(
    path: string,
    body: unknown,
    timeoutMs = this.timeoutMs,
  ): Promise<Result> {
    return this.call(path, Effect.Command, JSON.stringify(body), timeoutMs);
  }

  private async call<Result>(
    path: string,
    effect: Effect,
    body: string | null,
    timeoutMs: number,
  ): Promise<Result> {
    const url = `${this.options.address}${path}`;
    let response: HttpAnswer;
    try {
      response = await this.client.request(url, {
        method: effect === Effect.Read ? 'GET' : 'POST',
        headers: { 'content-type': 'application/json' },
        body,
        timeoutMs,
      });
    } catch (error) {
      throw createNoResponseError(url, effect, error);
    }
    return parseResponse<Result>(url, effect, response);
  }
}

function taskPath(taskId: TaskId, command: string): string {
  return `/v1/tasks/${encodeURIComponent(taskId)}/${command}`;
}

/** A command that was sent but got no response may have been executed. */
function createNoResponseError(url: string, effect: Effect, thrown: unknown): WorkerError {
  const cause = toError(thrown);
  const isSent = !(cause instanceof HttpClientError) || cause.requestSent;
  const isOutcomeUnknown = effect === Effect.Command && isSent;
  return new WorkerError(`no response from ${url}`, {
    code: isOutcomeUnknown ? ErrorCode.OutcomeUnknown : ErrorCode.Unavailable,
    cause,
  });
}

function parseResponse<Result>(url: string, effect: Effect, response: HttpAnswer): Result {
  let parsed: unknown;
  try {
    parsed = JSON.parse(response.body.toString('utf8'));
  } catch (error) {
    throw createNoResponseError(url, effect, error);
  }
  if (response.status >= FIRST_ERROR_STATUS) {
    const message = (parsed as { message?: string } | null)?.message ?? `status ${response.status}`;
    const isRefused = effect === Effect.Read || REFUSAL_STATUSES.includes(response.status);
    throw new WorkerError(message, {
      code: isRefused ? codeOfStatus(response.status) : ErrorCode.OutcomeUnknown,
      details: { status: response.status },
    });
  }
  return parsed as Result;
}
