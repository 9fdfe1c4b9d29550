/** The open streams of one node as decisions about reclaims see them, and the ways to move them. */
import type { Milliseconds } from '../clock.js'
import type { RequestId, UpstreamName } from '../identifiers.js'
import { createEngine } from '../protocols/engine.js'
import { promptTokens } from '../protocols/prompt.js'
import type { ExecutionContext } from './context.js'
import type { Execution } from './execution.js'
import type { Executions } from './submission.js'

/** An attempt that runs at an upstream. */
export interface OpenStream {
  readonly id: RequestId
  readonly upstream: UpstreamName
  /** The upstream's name for the stream; empty for plain services and before the stream has begun. */
  readonly handle: string
  readonly kind: 'model' | 'plain'
  readonly idempotent: boolean
  /** Tokens of the answer so far. */
  readonly offset: number
  /** Estimated tokens of the prompt. */
  readonly promptTokens: number
  /** Most tokens the answer can have. */
  readonly maxTokens: number
  readonly startedAt: Milliseconds
}

/** Moves of open streams. */
export interface Streams {
  /** Attempts that run at an upstream now. */
  openAt (upstream: UpstreamName): readonly OpenStream[]
  /**
   * Exports a stream's cache to another engine and goes on there without computing anything again.
   *
   * @returns false when the stream has ended or left meanwhile
   * @throws ServingError when the export fails; the stream stays where it is
   */
  moveTo (id: RequestId, target: UpstreamName, signal: AbortSignal): Promise<boolean>
  /** Leaves the stream and runs the rest elsewhere from prompt and tokens so far. @returns false when there is none */
  recompute (id: RequestId): boolean
}

/**
 * @example
 * for (const stream of createStreams(context, executions).openAt(upstream)) decide(stream)
 */
export function createStreams (context: ExecutionContext, executions: Executions): Streams {
  return {
    openAt: (upstream) => executions.open().flatMap((execution) => toOpenStream(execution, upstream)),
    moveTo: async (id, target, signal) => {
      const attempt = executions.openOf(id)?.attempt
      const from = attempt && context.directory.find(attempt.upstream)
      const to = context.directory.find(target)
      if (attempt === undefined || from === undefined || to === undefined || attempt.handle === '') return false
      const exported = await createEngine(context.connections, from.address).exportCache(attempt.handle, to.address, signal)
      const current = executions.openOf(id)?.attempt
      if (current === undefined || current.upstream !== from.name) return false
      current.redirect({ kind: 'attach', upstream: target, handle: exported.handle })
      return true
    },
    recompute: (id) => {
      const attempt = executions.openOf(id)?.attempt
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
