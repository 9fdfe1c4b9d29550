/** The requests of one node: submission, lookup, and the end of each. */
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

/** Where a send or a lookup of an id is answered. */
export type Located =
  | { kind: 'here', execution: Execution }
  /** Another node decides. */
  | { kind: 'elsewhere', incarnation: Incarnation }

/** The executions of one node. */
export interface Executions {
  /**
   * Starts a new request, or finds the execution it already has.
   *
   * @throws ServingError with the verdict of what became of it, when neither is possible
   */
  submit (request: Request, traceparent?: string): Located
  /** Records a new request without running it yet, while its key is being claimed. */
  reserve (request: Request, traceparent?: string): Reservation
  /** @throws ServingError with the verdict of what became of it, when its answer is not here */
  find (organisation: OrganisationName, id: RequestId): Located
  /** Goes on with a request of another node that this node has inherited. */
  takeOver (start: ExecutionStart, from: string): Execution
  /** Executions whose answers have not ended. */
  open (): readonly Execution[]
  openOf (id: RequestId): Execution | undefined
  /** Ended executions whose answers can still be read, the latest of them within a bound on their number. */
  readable (): readonly Execution[]
  /** Ended executions that some caller is still reading. */
  beingRead (): number
  /** Ends a request of another node whose outcome nobody can tell. */
  giveUp (start: ExecutionStart, from: string): void
  /** Keeps an answer that ended at another node and can still be read. */
  keepEnded (start: ExecutionStart, end: AnswerEnd): void
  /** Stops the run without ending the answer. Resolves when nothing of it goes on here. */
  freeze (execution: Execution): Promise<void>
  /** Goes on with a frozen execution. */
  thaw (execution: Execution, position: StreamPosition | undefined): void
  /** Ends a frozen execution here: another node goes on with it. */
  handedOver (execution: Execution, to: string): void
  usage (): { open: number, answers: number, bytes: number }
}

/** A request that is recorded and does not run yet. */
export interface Reservation {
  start (): Execution
  /**
   * Never runs it. Its id stays refused.
   *
   * @param failure what the caller is told; undefined when the caller is answered by another request
   */
  abandon (failure: ServingError | undefined): void
}

/** A caller that is gone for longer than this does not resume; the rest of its answer is cancelled. */
export const RESUMPTION_GRACE: Milliseconds = 30 * SECOND

/** Memory for ended answers. */
const ANSWER_BYTES = 67_108_864

/** Ended answers that a successor is given. */
const MOST_READABLE = 256

const SWEEP_PERIOD: Milliseconds = 5 * SECOND
const STOPPING_RETRY: Milliseconds = SECOND

/**
 * @param home decides which ids run here
 * @example
 * const located = createExecutions(context, home).submit(request)
 * if (located.kind === 'here') for await (const part of located.execution.answer.read(0, signal)) send(part)
 */
export function createExecutions (context: ExecutionContext, home: HomeTable): Executions {
  const { clock, signal } = context
  const open = new Map<RequestId, Execution>()
  const retention = createRetention(ANSWER_BYTES)

  function run (execution: Execution): Execution {
    open.set(execution.request.id, execution)
    started(execution)
    return execution
  }

  function started (execution: Execution): void {
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

  function settle (execution: Execution, end: AnswerEnd): void {
    const { id } = execution.request
    open.delete(id)
    if (end.kind === 'moved') return
    const outcome = execution.outcome ?? { kind: 'unknown' }
    home.end(id, { outcome, verdict: verdictOfEnd(end, outcome) }, clock.now())
    retention.keep(execution)
  }

  function locate (id: RequestId, decision: Exclude<SubmissionDecision, { kind: 'run' }>): Located {
    switch (decision.kind) {
      case 'attach': {
        const execution = open.get(id) ?? retention.find(id)
        if (execution !== undefined) return { kind: 'here', execution }
        throw goneFailure()
      }
      case 'ask-home': return { kind: 'elsewhere', incarnation: decision.incarnation }
      case 'ended': {
        const kept = retention.find(id)
        if (kept !== undefined) return { kind: 'here', execution: kept }
        throw decision.ended.outcome.kind === 'served' ? goneFailure() : submissionFailure(decision, STOPPING_RETRY)
      }
      default: throw submissionFailure(decision, STOPPING_RETRY)
    }
  }

  function sweep (): void {
    for (const id of home.expire(clock.now())) retention.drop(id)
    for (const execution of open.values()) {
      if (isAbandoned(execution, clock.now())) execution.owner.abort('abandoned')
    }
  }

  every(clock, SWEEP_PERIOD, signal, sweep, () => {}).catch(() => {})
  signal.addEventListener('abort', () => {
    for (const execution of open.values()) execution.owner.abort(signal.reason)
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
      if (decision.kind !== 'run') throw submissionFailure(decision, STOPPING_RETRY)
      const execution = createExecution({ request, traceparent }, clock)
      open.set(request.id, execution)
      return {
        start: () => {
          started(execution)
          return execution
        },
        abandon: (failure) => abandon(execution, failure)
      }
    },
    find: (organisation, id) => {
      const decision = home.find(organisation, id)
      if (decision.kind !== 'run') return locate(id, decision)
      throw submissionFailure({ kind: 'forgotten' }, STOPPING_RETRY)
    },
    takeOver: (start, from) => {
      const known = open.get(start.request.id)
      if (known !== undefined) return known
      const execution = createExecution(start, clock)
      if (start.accepted) {
        execution.accept()
        context.bookkeeping.takenOver(execution, from)
      }
      return run(execution)
    },
    open: () => [...open.values()],
    openOf: (id) => open.get(id),
    readable: () => [...retention.all()].slice(-MOST_READABLE),
    beingRead: () => [...retention.all()].filter((execution) => execution.readers > 0).length,
    giveUp: (start, from) => {
      const execution = createExecution(start, clock)
      execution.accept()
      context.bookkeeping.takenOver(execution, from)
      const end = { kind: 'failed', failure: new ServingError(`the node ${from} ended before its outcome was known`, { code: 'outcome-unknown', verdict: 'may-have-run' }) } as const
      execution.answer.close(end)
      execution.endedAt = clock.now()
      context.bookkeeping.ended(execution, end)
      settle(execution, end)
    },
    keepEnded: (start, end) => {
      const execution = createExecution(start, clock)
      execution.answer.close(end)
      retention.keep(execution)
    },
    freeze: (execution) => {
      execution.owner.abort('handed-over')
      return execution.running
    },
    thaw: (execution, position) => {
      execution.owner = new AbortController()
      execution.position = position
      started(execution)
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

/** Only answers that can be had again are given up: a call that may not be repeated runs to its end. */
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
