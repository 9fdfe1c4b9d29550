/**
 * Spans of one process by OpenTelemetry, tied together by the W3C trace context
 * (https://www.w3.org/TR/trace-context/). They are exported only when settings name a collector.
 */
import { ROOT_CONTEXT, SpanStatusCode, trace } from '@opentelemetry/api'
import type { Attributes, Context } from '@opentelemetry/api'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BatchSpanProcessor, NodeTracerProvider } from '@opentelemetry/sdk-trace-node'
import type { ReadableSpan, SpanProcessor } from '@opentelemetry/sdk-trace-node'
import { ATTR_SERVICE_NAME } from '@opentelemetry/semantic-conventions'

/** A span that has begun. */
export interface TraceSpan {
  /** What the next hop is given. */
  readonly traceparent: string
  fail (message: string): void
  end (): void
}

/** Spans of a process. */
export interface Tracing {
  /**
   * @param parent traceparent of the hop before; a new trace begins when it is missing or malformed
   */
  start (name: string, parent: string | undefined, attributes: Attributes): TraceSpan
  /** The latest spans that ended, oldest first. */
  recent (): readonly ReadableSpan[]
  close (): Promise<void>
}

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/
const NO_TRACE = '0'.repeat(32)
const NO_SPAN = '0'.repeat(16)

/** Spans kept in memory. */
const MOST_SPANS = 512

/**
 * @param collector OTLP/HTTP address; none: spans only stay in memory, the latest {@link MOST_SPANS}
 * @example
 * const span = createTracing('entry-1', undefined).start('attempt', request.headers.traceparent, {})
 */
export function createTracing (source: string, collector: string | undefined): Tracing {
  const memory = createSpanMemory()
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({ [ATTR_SERVICE_NAME]: source }),
    spanProcessors: [memory.processor, ...(collector === undefined ? [] : [new BatchSpanProcessor(new OTLPTraceExporter({ url: collector }))])]
  })
  const tracer = provider.getTracer('hornbeamgap')
  return {
    start: (name, parent, attributes) => {
      const span = tracer.startSpan(name, { attributes }, contextOf(parent))
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

/** A malformed header begins a new trace, as the specification says. */
function contextOf (traceparent: string | undefined): Context {
  const [, traceId, spanId, flags] = TRACEPARENT.exec(traceparent ?? '') ?? []
  if (traceId === undefined || spanId === undefined || flags === undefined) return ROOT_CONTEXT
  if (traceId === NO_TRACE || spanId === NO_SPAN) return ROOT_CONTEXT
  return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags: Number.parseInt(flags, 16) & 1, isRemote: true })
}

function createSpanMemory (): { processor: SpanProcessor, spans: () => ReadableSpan[] } {
  const ring: ReadableSpan[] = []
  let next = 0
  return {
    processor: {
      onStart: () => {},
      onEnd: (span) => {
        ring[next % MOST_SPANS] = span
        next += 1
      },
      forceFlush: async () => {},
      shutdown: async () => {}
    },
    spans: () => next <= MOST_SPANS ? [...ring] : [...ring.slice(next % MOST_SPANS), ...ring.slice(0, next % MOST_SPANS)]
  }
}
