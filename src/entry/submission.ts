/** The requests of one node: submission, lookup, hand-over and end. */
import type { Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import type { Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import { submissionFailure, verdictForOutcome } from '../request/index.js'
import type { AnswerEnd, HomeTable, Outcome, Request, StreamPosition, SubmissionDecision } from '../request/index.js'
import { ServingError } from '../verdict.js'
import { runAttempts } from './attempts.js'
import type { ExecutionContext } from './context.js'
import { createExecution } from './execution.js'
import type { Execution, ExecutionStart } from './execution.js'
import { createRetention } from './retention.js'

/** Node at which the submission or lookup of an id is answered. */
export type RequestLocation =
  | { kind: 'here', execution: Execution }
  /** Another node decides about the id. */
  | { kind: 'elsewhere', incarnation: Incarnation }

/** The executions of one node. */
export interface Executions {
  /**
   * Starts a new request, or finds its existing execution.
   *
   * @throws ServingError with the verdict of the request if neither is possible
   */
  submit (request: Request, traceparent?: string): RequestLocation
  /**
   * Records a new request without running it, while its idempotency key is being claimed.
   *
   * @throws ServingError with the verdict of the request if the id is not new or the node is stopping
   */
  reserve (request: Request, traceparent?: string): Reservation
  /**
   * Finds a request by its id.
   *
   * @throws ServingError with the verdict of the request if its answer is not available at this node
   */
  find (organisation: OrganisationName, id: RequestId): RequestLocation
  /** Continues a request that this node has taken over from another node. */
  takeOver (start: ExecutionStart, from: string): Execution
  /** Executions whose answers have not ended. */
  open (): readonly Execution[]
  /** The execution of an id, if its answer has not ended. */
  findOpen (id: RequestId): Execution | undefined
  /** The most recent ended executions whose answers can still be read. Their number is limited. */
  readable (): readonly Execution[]
  /** Number of ended executions whose answers are still being read. */
  countBeingRead (): number
  /** Ends a request of another node whose outcome cannot be determined. Its verdict is `may-have-run`. */
  endWithUnknownOutcome (start: ExecutionStart, from: string): void
  /** Retains an answer that ended at another node, so that it can still be read. */
  retainEnded (start: ExecutionStart, end: AnswerEnd): void
  /** Stops the run without ending the answer. Resolves when the run has stopped. */
  suspend (execution: Execution): Promise<void>
  /** Continues a suspended execution at this node. */
  resume (execution: Execution, position: StreamPosition | undefined): void
  /** Ends a suspended execution at this node. Another node continues the request. */
  handedOver (execution: Execution, to: string): void
  /** Number of open executions, and number and estimated bytes of retained answers. */
  usage (): { open: number, answers: number, bytes: number }
}

/** A request that is recorded but does not run yet. */
export interface Reservation {
  /** Runs the request. */
  start (): Execution
  /**
   * Refuses the request. Its id remains refused and never runs.
   *
   * @param failure failure to report to the caller; undefined if the caller receives the answer of another request
   */
  abandon (failure: ServingError | undefined): void
}

/** Maximum time without a reader. The caller is then assumed not to resume, and the rest of the answer is cancelled. */
export const RESUMPTION_GRACE: Milliseconds = 30 * SECOND

/** Limit of the estimated memory for ended answers. */
const MAX_ANSWER_BYTES = 33_554_432

/** Maximum number of ended answers that a successor receives. */
const MAX_READABLE = 256

/** Period in which expired answers and requests without readers are looked for. */
const SWEEP_PERIOD: Milliseconds = 5 * SECOND

/** Delay after which a caller may retry a request that was refused because the node is stopping. */
const STOPPING_RETRY_AFTER: Milliseconds = SECOND

/**
 * Creates the executions of a node, and starts the periodic search for expired and abandoned requests.
 *
 * @param home decides which ids run at this node
 * @example
 * const located = createExecutions(context, home).submit(request)
 * if (located.kind === 'here') for await (const part of located.execution.answer.read(0, signal)) send(part)
 */
export function createExecutions (context: ExecutionContext, home: HomeTable): Executions {
  const { clock, signal } = context
  const open = new Map<RequestId, Execution>()
  const retention = createRetention(MAX_ANSWER_BYTES)

  function run (execution: Execution): Execution {
    open.set(execution.request.id, execution)
    startRun(execution)
    return execution
  }

  function startRun (execution: Execution): void {
    execution.running = runAttempts(context, execution).then((end) => {
      if (end !== undefined) settle(execution, end)
    }, () => {})
  }

  function abandon (execution: Execution, failure: ServingError | undefined): void {
    if (failure !== undefined) context.bookkeeping.refused(execution, failure)
    execution.outcome = { kind: 'refused', code: failure?.code ?? 'conflict' }
    const end = { kind: 'failed', failure: failure ?? duplicateFailure() } as const
    execution.answer.close(end)
    settle(execution, end)
  }

  /** Records the outcome of an execution and retains its answer. */
  function settle (execution: Execution, end: AnswerEnd): void {
    const { id } = execution.request
    open.delete(id)
    if (end.kind === 'moved') return
    const outcome = execution.outcome ?? { kind: 'unknown' }
    home.end(id, { outcome, verdict: verdictOfEnd(end, outcome) }, clock.now())
    retention.keep(execution)
  }

  function locate (id: RequestId, decision: Exclude<SubmissionDecision, { kind: 'run' }>): RequestLocation {
    switch (decision.kind) {
      case 'attach': {
        const execution = open.get(id) ?? retention.find(id)
        if (execution !== undefined) return { kind: 'here', execution }
        throw goneFailure()
      }
      case 'ask-home': return { kind: 'elsewhere', incarnation: decision.incarnation }
      case 'ended': {
        const retained = retention.find(id)
        if (retained !== undefined) return { kind: 'here', execution: retained }
        throw decision.ended.outcome.kind === 'served' ? goneFailure() : submissionFailure(decision, STOPPING_RETRY_AFTER)
      }
      default: throw submissionFailure(decision, STOPPING_RETRY_AFTER)
    }
  }

  function sweep (): void {
    for (const id of home.expire(clock.now())) retention.drop(id)
    for (const execution of open.values()) {
      if (isAbandoned(execution, clock.now())) execution.runController.abort('abandoned')
    }
  }

  every(clock, SWEEP_PERIOD, signal, sweep, () => {}).catch(() => {})
  signal.addEventListener('abort', () => {
    for (const execution of open.values()) execution.runController.abort(signal.reason)
  }, { once: true })

  return {
    submit: (request, traceparent) => {
      const decision = home.submit(request, clock.now())
      if (decision.kind !== 'run') return locate(request.id, decision)
      return { kind: 'here', execution: run(createExecution({ request, traceparent }, clock)) }
    },
    reserve: (request, traceparent) => {
      const decision = home.submit(request, clock.now())
      if (decision.kind === 'attach' || decision.kind === 'ask-home') throw new ServingError('the id is taken', { code: 'conflict', verdict: 'not-run' })
      if (decision.kind !== 'run') throw submissionFailure(decision, STOPPING_RETRY_AFTER)
      const execution = createExecution({ request, traceparent }, clock)
      open.set(request.id, execution)
      return {
        start: () => {
          startRun(execution)
          return execution
        },
        abandon: (failure) => abandon(execution, failure)
      }
    },
    find: (organisation, id) => {
      const decision = home.find(organisation, id)
      if (decision.kind !== 'run') return locate(id, decision)
      throw submissionFailure({ kind: 'forgotten' }, STOPPING_RETRY_AFTER)
    },
    takeOver: (start, from) => {
      const existing = open.get(start.request.id)
      if (existing !== undefined) return existing
      const execution = createExecution(start, clock)
      if (start.accepted) {
        execution.accept()
        context.bookkeeping.takenOver(execution, from)
      }
      return run(execution)
    },
    open: () => [...open.values()],
    findOpen: (id) => open.get(id),
    readable: () => [...retention.all()].slice(-MAX_READABLE),
    countBeingRead: () => [...retention.all()].filter((execution) => execution.readers > 0).length,
    endWithUnknownOutcome: (start, from) => {
      const execution = createExecution(start, clock)
      execution.accept()
      context.bookkeeping.takenOver(execution, from)
      const end = { kind: 'failed', failure: new ServingError(`the node ${from} ended before its outcome was known`, { code: 'outcome-unknown', verdict: 'may-have-run' }) } as const
      execution.answer.close(end)
      execution.endedAt = clock.now()
      context.bookkeeping.ended(execution, end)
      settle(execution, end)
    },
    retainEnded: (start, end) => {
      const execution = createExecution(start, clock)
      execution.answer.close(end)
      retention.keep(execution)
    },
    suspend: (execution) => {
      execution.runController.abort('handed-over')
      return execution.running
    },
    resume: (execution, position) => {
      execution.runController = new AbortController()
      execution.position = position
      startRun(execution)
    },
    handedOver: (execution, to) => {
      open.delete(execution.request.id)
      if (execution.accepted) context.bookkeeping.handedOver(execution, to)
      context.notes.closed(execution)
      execution.answer.close({ kind: 'moved', retryAfter: 0 })
    },
    usage: () => ({ open: open.size, ...retention.usage() })
  }
}

/**
 * Whether the callers of a request have left for good. Only idempotent model requests can be abandoned, because their
 * answers can be computed again. Other requests run to the end.
 */
function isAbandoned (execution: Execution, now: Milliseconds): boolean {
  if (execution.readers > 0 || execution.unreadSince === undefined) return false
  if (execution.request.work.kind !== 'model' || !execution.request.idempotent) return false
  return now - execution.unreadSince > RESUMPTION_GRACE
}

function verdictOfEnd (end: AnswerEnd, outcome: Outcome) {
  return end.kind === 'failed' ? end.failure.verdict : verdictForOutcome(outcome)
}

function duplicateFailure (): ServingError {
  return new ServingError('the key belongs to another request', { code: 'conflict', verdict: 'not-run' })
}

function goneFailure (): ServingError {
  return new ServingError('the request ran and was answered; its answer is no longer kept', { code: 'gone', verdict: 'ran' })
}
