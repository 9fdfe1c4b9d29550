/** The requests of one node: submission, lookup, and the seams through which their streams are moved. */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { OrganisationName, RequestId, UpstreamName } from '../identifiers.js'
import { createEngine } from '../platform/engine.js'
import { promptTokens } from '../platform/prompt.js'
import type { Request } from '../request/index.js'
import { ServingError } from '../verdict.js'
import { runAttempts } from './attempts.js'
import type { ExecutionContext } from './context.js'
import { createExecution } from './execution.js'
import type { Execution, ExecutionStart, OpenStream } from './execution.js'

/** The executions of one node. */
export interface Executions {
  /**
   * Starts a request, or returns the execution it already has.
   *
   * @throws ServingError `conflict` for another body under a known id, `not-found` for another
   *   organisation's id
   */
  submit (request: Request, traceparent?: string): Execution
  /** Goes on with a request of another node. */
  takeOver (start: ExecutionStart, from: string): Execution
  /** The execution of an id, only for the organisation it belongs to. */
  find (organisation: OrganisationName, id: RequestId): Execution | undefined
  /** Executions whose answers have not ended. */
  open (): readonly Execution[]
  /** Model streams that run at an upstream now. */
  openAt (upstream: UpstreamName): readonly OpenStream[]
  /**
   * Exports a stream's cache to another engine and goes on there without computing anything again.
   *
   * @returns false when the stream has ended or left meanwhile
   * @throws ServingError when the export fails; the stream stays where it is
   */
  moveTo (id: RequestId, target: UpstreamName, signal: AbortSignal): Promise<boolean>
  /** Leaves the stream and runs the rest elsewhere from prompt and tokens so far. */
  recompute (id: RequestId): boolean
}

/** A caller that is gone for longer than this does not resume; the rest of its answer is cancelled. */
export const RESUMPTION_GRACE: Milliseconds = 30 * SECOND

/** How long an ended answer is kept for callers that ask again. */
export const ANSWER_RETENTION: Milliseconds = 10 * MINUTE

/**
 * @example
 * const executions = createExecutions(context)
 * for await (const part of executions.submit(request).answer.read(0, signal)) send(part)
 */
export function createExecutions (context: ExecutionContext): Executions {
  const executions = new Map<RequestId, Execution>()
  const open = new Map<RequestId, Execution>()

  function run (execution: Execution): Execution {
    const { id } = execution.request
    executions.set(id, execution)
    open.set(id, execution)
    runAttempts(context, execution).catch(() => {}).finally(() => open.delete(id))
    return execution
  }

  context.signal.addEventListener('abort', () => {
    for (const execution of open.values()) execution.owner.abort(context.signal.reason)
  }, { once: true })

  return {
    submit: (request, traceparent) => {
      const known = executions.get(request.id)
      if (known !== undefined) return matching(known, request)
      return run(createExecution({ request, traceparent }, context.clock))
    },
    takeOver: (start, from) => {
      const known = executions.get(start.request.id)
      if (known !== undefined) return known
      const execution = createExecution(start, context.clock)
      execution.accept()
      context.bookkeeping.takenOver(execution, from)
      return run(execution)
    },
    find: (organisation, id) => {
      const known = executions.get(id)
      return known?.request.organisation === organisation ? known : undefined
    },
    open: () => [...open.values()],
    openAt: (upstream) => [...open.values()].flatMap((execution) => toOpenStream(execution, upstream)),
    moveTo: async (id, target, signal) => {
      const attempt = open.get(id)?.attempt
      const from = attempt && context.directory.find(attempt.upstream)
      const to = context.directory.find(target)
      if (attempt === undefined || from === undefined || to === undefined || attempt.handle === '') return false
      const exported = await createEngine(context.connections, from.address).exportCache(attempt.handle, to.address, signal)
      if (open.get(id)?.attempt !== attempt) return false
      attempt.redirect({ kind: 'attach', upstream: target, handle: exported.handle })
      return true
    },
    recompute: (id) => {
      const attempt = open.get(id)?.attempt
      attempt?.redirect({ kind: 'recompute' })
      return attempt !== undefined
    }
  }
}

function matching (known: Execution, request: Request): Execution {
  if (known.request.organisation !== request.organisation) throw new ServingError('no such request', { code: 'not-found', verdict: 'not-run' })
  if (known.request.fingerprint === request.fingerprint) return known
  throw new ServingError('this request id was used with another body', { code: 'conflict', verdict: 'not-run' })
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
