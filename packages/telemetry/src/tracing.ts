/**
 * A span for each hop of a request, with W3C context passed in headers. Spans are exported only when an
 * endpoint is set; without one the calls cost next to nothing.
 */
import { SpanStatusCode, context, propagation, trace } from '@opentelemetry/api';
import type { Context, Span, Tracer } from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { BatchSpanProcessor, NodeTracerProvider } from '@opentelemetry/sdk-trace-node';

const TRACER_NAME = 'figjunction';

export interface TracingOptions {
  /** OTLP endpoint for traces; null exports nothing. */
  endpoint: string | null;
}

export interface TracingHandle {
  /** Sends what is buffered. */
  shutdown(): Promise<void>;
}

export function startTracing(options: TracingOptions): TracingHandle {
  if (options.endpoint === null) {
    return { shutdown: () => Promise.resolve() };
  }
  const exporter = new OTLPTraceExporter({ url: options.endpoint });
  const provider = new NodeTracerProvider({ spanProcessors: [new BatchSpanProcessor(exporter)] });
  provider.register();
  return { shutdown: () => provider.shutdown() };
}

function tracer(): Tracer {
  return trace.getTracer(TRACER_NAME);
}

export type SpanAttributes = Record<string, string | number | boolean>;

/** Runs one hop inside a span that continues the context of the given headers. */
export async function inSpan<Result>(
  name: string,
  headers: Record<string, string | string[] | undefined>,
  attributes: SpanAttributes,
  run: (span: Span) => Promise<Result>,
): Promise<Result> {
  const parent: Context = propagation.extract(context.active(), headers);
  return tracer().startActiveSpan(name, { attributes }, parent, async (span) => {
    try {
      return await run(span);
    } catch (error) {
      span.setStatus({ code: SpanStatusCode.ERROR });
      throw error;
    } finally {
      span.end();
    }
  });
}

/** Headers that carry the current context to the next hop. */
export function traceHeaders(): Record<string, string> {
  const headers: Record<string, string> = {};
  propagation.inject(context.active(), headers);
  return headers;
}
