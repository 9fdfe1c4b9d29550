/** Open streams of one node, with the operations that move them when an upstream is reclaimed. */
import type { Milliseconds } from '../clock.js'
import type { RequestId, UpstreamName } from '../identifiers.js'
import { createEngine } from '../protocols/engine.js'
import { promptTokens } from '../protocols/prompt.js'
import type { ExecutionContext } from './context.js'
import type { Execution } from './execution.js'
import type { Executions } from './submission.js'

/** An attempt that is running at an upstream. */
export interface OpenStream {
  readonly id: RequestId
  readonly upstream: UpstreamName
  /** Handle that the upstream assigned to the stream. Empty for plain services and before the stream has started. */
  readonly handle: string
  readonly kind: 'model' | 'plain'
  readonly idempotent: boolean
  /** Number of tokens of the answer so far. */
  readonly offset: number
  /** Estimated number of tokens of the prompt. */
  readonly promptTokens: number
  /** Maximum number of tokens of the answer. */
  readonly maxTokens: number
  readonly startedAt: Milliseconds
}

/** Operations on open streams. */
export interface Streams {
  /** Attempts that are running at the upstream. */
  openAt (upstream: UpstreamName): readonly OpenStream[]
  /**
   * Exports the cache of a stream to another engine and continues the stream there. No token is recomputed.
   *
   * @returns false if the stream does not exist, or has ended or moved during the export
   * @throws ServingError if the export fails. The stream continues at its upstream.
   */
  moveTo (id: RequestId, target: UpstreamName, signal: AbortSignal): Promise<boolean>
  /**
   * Leaves the stream. The request continues at another upstream, which prefills the prompt and the tokens so far.
   *
   * @returns false if the request has no running attempt
   */
  recompute (id: RequestId): boolean
}

/**
 * Creates the operations on the streams of a node.
 *
 * @example
 * for (const stream of createStreams(context, executions).openAt(upstream)) decide(stream)
 */
export function createStreams (context: ExecutionContext, executions: Executions): Streams {
  return {
    openAt: (upstream) => executions.open().flatMap((execution) => toOpenStream(execution, upstream)),
    moveTo: async (id, target, signal) => {
      const attempt = executions.findOpen(id)?.attempt
      const from = attempt && context.directory.find(attempt.upstream)
      const to = context.directory.find(target)
      if (attempt === undefined || from === undefined || to === undefined || attempt.handle === '') return false
      const exported = await createEngine(context.connections, from.address).exportCache(attempt.handle, to.address, signal)
      const current = executions.findOpen(id)?.attempt
      if (current === undefined || current.upstream !== from.name) return false
      current.redirect({ kind: 'attach', upstream: target, handle: exported.handle })
      return true
    },
    recompute: (id) => {
      const attempt = executions.findOpen(id)?.attempt
      attempt?.redirect({ kind: 'recompute' })
      return attempt !== undefined
    }
  }
}

function toOpenStream (execution: Execution, upstream: UpstreamName): OpenStream[] {
  const { attempt, request, answer } = execution
  if (attempt === undefined || attempt.upstream !== upstream) return []
  const body = request.work.kind === 'model' ? request.work.body : undefined
  return [{
    id: request.id,
    upstream,
    handle: attempt.handle,
    kind: request.work.kind,
    idempotent: request.idempotent,
    offset: answer.offset(),
    promptTokens: body === undefined ? 0 : promptTokens(body.messages),
    maxTokens: body?.max_tokens ?? 0,
    startedAt: attempt.startedAt
  }]
}
