/** Runs requests at their home: attempts at upstreams, answers, and their end. */
import type { Configuration, RequestClass, Service } from '../configuration/index.js'
import { findClass, findService } from '../configuration/index.js'
import type { OrganisationName, RequestId, UpstreamName } from '../identifiers.js'
import { createEngine } from '../platform/engine.js'
import type { Connections } from '../platform/http.js'
import type { Random } from '../random.js'
import { createAnswer } from '../request/index.js'
import type { Answer, ChatBody, Request } from '../request/index.js'
import { chooseUpstream } from '../upstream/index.js'
import type { UpstreamView } from '../upstream/index.js'
import { mayRepeat, ServingError, toServingError } from '../verdict.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** A request and its answer, from acceptance on. */
export interface Execution {
  readonly request: Request
  readonly answer: Answer
}

/** The executions of one node. */
export interface Executions {
  /** Starts a request, or returns the execution it already has. */
  submit (request: Request): Execution
  /** The execution of an id, only for the organisation it belongs to. */
  find (organisation: OrganisationName, id: RequestId): Execution | undefined
}

/** What executions need from their node. */
export interface ExecutionContext {
  readonly directory: UpstreamDirectory
  readonly connections: Connections
  readonly configuration: () => Configuration | undefined
  readonly random: Random
  readonly signal: AbortSignal
}

/** Attempts of one request, the first included. */
const MOST_ATTEMPTS = 4

/** Tokens read ahead of the fastest reader before the upstream is left waiting. */
const READ_AHEAD = 1_024

/**
 * @example
 * const executions = createExecutions(context)
 * for await (const part of executions.submit(request).answer.read(0, signal)) send(part)
 */
export function createExecutions (context: ExecutionContext): Executions {
  const executions = new Map<RequestId, Execution>()

  return {
    submit: (request) => {
      const known = executions.get(request.id)
      if (known !== undefined) return matching(known, request)
      const execution = { request, answer: createAnswer() }
      executions.set(request.id, execution)
      run(context, execution).catch((error) => {
        execution.answer.close({ kind: 'failed', failure: toServingError(error, 'may-have-run') })
      })
      return execution
    },
    find: (organisation, id) => {
      const known = executions.get(id)
      return known?.request.organisation === organisation ? known : undefined
    }
  }
}

function matching (known: Execution, request: Request): Execution {
  if (known.request.organisation !== request.organisation) throw new ServingError('no such request', { code: 'not-found', verdict: 'not-run' })
  if (known.request.fingerprint === request.fingerprint) return known
  throw new ServingError('this request id was used with another body', { code: 'conflict', verdict: 'not-run' })
}

async function run (context: ExecutionContext, execution: Execution): Promise<void> {
  const { requestClass, service } = requirements(context.configuration(), execution.request)
  const excluded = new Set<UpstreamName>()
  for (let attempt = 1; ; attempt += 1) {
    const upstream = chooseUpstream(context.directory.views(), service.name, excluded, context.random)
    if (upstream === undefined) throw new ServingError(`no upstream of ${service.name} is live`, { code: 'no-upstream', verdict: 'not-run', retryAfter: 1_000 })
    try {
      return await attemptAt(context, execution, upstream, service)
    } catch (error) {
      const failure = toServingError(error, 'may-have-run')
      if (attempt >= MOST_ATTEMPTS || !mayRepeat(failure.verdict, requestClass.idempotent)) throw failure
      excluded.add(upstream.name)
    }
  }
}

function requirements (configuration: Configuration | undefined, request: Request): { requestClass: RequestClass, service: Service } {
  if (configuration === undefined) throw new ServingError('no configuration is known yet', { code: 'no-configuration', verdict: 'not-run', retryAfter: 1_000 })
  const requestClass = findClass(configuration, request.class)
  const service = requestClass && findService(configuration, requestClass.service)
  if (requestClass === undefined || service === undefined) throw new ServingError(`unknown class ${request.class}`, { code: 'invalid-request', verdict: 'not-run' })
  return { requestClass, service }
}

async function attemptAt (context: ExecutionContext, execution: Execution, upstream: UpstreamView, service: Service): Promise<void> {
  const leave = context.directory.enter(upstream.name)
  try {
    if (execution.request.work.kind === 'model' && service.kind === 'model') {
      await generate(context, execution, upstream, execution.request.work.body, service.model)
    } else {
      throw new ServingError(`class ${execution.request.class} is served by a ${service.kind} service`, { code: 'invalid-request', verdict: 'not-run' })
    }
  } finally {
    leave()
  }
}

async function generate (context: ExecutionContext, execution: Execution, upstream: UpstreamView, body: ChatBody, model: string): Promise<void> {
  const { answer } = execution
  const engine = createEngine(context.connections, upstream.address)
  const continuation = answer.offset() === 0 ? {} : { continuation: { offset: answer.offset(), text: answer.text() } }
  const stream = await engine.start({ body, model, priority: 0, ...continuation, signal: context.signal })
  for await (const event of stream.events) {
    switch (event.kind) {
      case 'token':
        answer.append(event)
        await answer.room(READ_AHEAD, context.signal)
        break
      case 'finished':
        answer.close(event)
        break
    }
  }
}
