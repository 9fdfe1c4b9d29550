/**
 * OpenTelemetry tracing of one process. Spans are linked across processes by the W3C trace context
 * (https://www.w3.org/TR/trace-context/). They are exported only if the settings name a trace collector.
 */
import { ROOT_CONTEXT, SpanStatusCode, trace } from '@opentelemetry/api'
import type { Attributes, Context } from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BatchSpanProcessor, NodeTracerProvider } from '@opentelemetry/sdk-trace-node'
import type { ReadableSpan, SpanProcessor } from '@opentelemetry/sdk-trace-node'
import { ATTR_SERVICE_NAME } from '@opentelemetry/semantic-conventions'

/** A started span. */
export interface TraceSpan {
  /** `traceparent` header to be sent to the next hop. */
  readonly traceparent: string
  /** Sets the status of the span to error. */
  fail (message: string): void
  end (): void
}

/** Tracer of a process. */
export interface Tracing {
  /**
   * Starts a span.
   *
   * @param parent `traceparent` header of the previous hop. A new trace is started if it is missing or malformed.
   */
  start (name: string, parent: string | undefined, attributes: Attributes): TraceSpan
  /** The most recently ended spans, oldest first. */
  recent (): readonly ReadableSpan[]
  /** Exports the remaining spans and stops tracing. */
  close (): Promise<void>
}

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/
const INVALID_TRACE_ID = '0'.repeat(32)
const INVALID_SPAN_ID = '0'.repeat(16)

/** Maximum number of ended spans kept in memory. */
const MAX_SPANS = 512

/**
 * Creates the tracer of a process. The latest {@link MAX_SPANS} ended spans are kept in memory.
 *
 * @param serviceName service name attached to all spans
 * @param collector OTLP/HTTP URL to which spans are exported. Undefined if spans are not to be exported.
 * @example
 * const span = createTracing('entry-1', undefined).start('attempt', request.headers.traceparent, {})
 */
export function createTracing (serviceName: string, collector: string | undefined): Tracing {
  const memory = createSpanMemory()
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({ [ATTR_SERVICE_NAME]: serviceName }),
    spanProcessors: [memory.processor, ...(collector === undefined ? [] : [new BatchSpanProcessor(new OTLPTraceExporter({ url: collector }))])]
  })
  const tracer = provider.getTracer('hornbeamgap')
  return {
    start: (name, parent, attributes) => {
      const span = tracer.startSpan(name, { attributes }, parentContextOf(parent))
      const { traceId, spanId, traceFlags } = span.spanContext()
      return {
        traceparent: `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`,
        fail: (message) => { span.setStatus({ code: SpanStatusCode.ERROR, message }) },
        end: () => span.end()
      }
    },
    recent: memory.spans,
    close: () => provider.shutdown().catch(() => {})
  }
}

/** Context of the parent span. A malformed header starts a new trace, as the specification requires. */
function parentContextOf (traceparent: string | undefined): Context {
  const [, traceId, spanId, flags] = TRACEPARENT.exec(traceparent ?? '') ?? []
  if (traceId === undefined || spanId === undefined || flags === undefined) return ROOT_CONTEXT
  if (traceId === INVALID_TRACE_ID || spanId === INVALID_SPAN_ID) return ROOT_CONTEXT
  return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags: Number.parseInt(flags, 16) & 1, isRemote: true })
}

function createSpanMemory (): { processor: SpanProcessor, spans: () => ReadableSpan[] } {
  const ring: ReadableSpan[] = []
  let endedSpans = 0
  return {
    processor: {
      onStart: () => {},
      onEnd: (span) => {
        ring[endedSpans % MAX_SPANS] = span
        endedSpans += 1
      },
      forceFlush: async () => {},
      shutdown: async () => {}
    },
    spans: () => endedSpans <= MAX_SPANS ? [...ring] : [...ring.slice(endedSpans % MAX_SPANS), ...ring.slice(0, endedSpans % MAX_SPANS)]
  }
}
