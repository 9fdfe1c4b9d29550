/** Handlers for the requests that peers forward to this node, and for the tables that they hand over to it. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import type { HomeTable } from '../request/index.js'
import type { ForwardedPart, RequestHandlers } from '../peer/request.js'
import { toWireFailure } from '../peer/request.js'
import type { AnswerPart } from '../request/index.js'
import { toServingError } from '../verdict.js'
import { localSource } from './answer-source.js'
import type { AnswerSource } from './answer-source.js'
import { toForwardedPart } from './forwarded.js'
import { continueHandedOver } from './hand-over.js'
import type { Executions, RequestLocation } from './submission.js'

/** Period of the keep-alives on a forwarded answer that has no new part. */
export const FORWARD_KEEP_ALIVE_PERIOD: Milliseconds = 2 * SECOND

/**
 * Creates the handlers of a node.
 *
 * @param options `stopping` returns whether the node refuses tables from now on. `onHandOver` is called with the sender
 *   of each table before the table is taken over.
 * @example
 * createPeerServer(settings.peer_key, { agreement, request: createRequestHandlers({ executions, home, clock, stopping, onHandOver }) })
 */
export function createRequestHandlers (options: { executions: Executions, home: HomeTable, clock: Clock, stopping: () => boolean, onHandOver: (from: Incarnation) => void }): RequestHandlers {
  const { executions, home, clock } = options

  /** Yields a refusal as a message of the stream, because a tRPC error would lose the verdict. */
  async function * forward (locate: () => RequestLocation, offset: number, signal: AbortSignal): AsyncIterable<ForwardedPart> {
    try {
      const located = locate()
      if (located.kind === 'elsewhere') {
        yield { kind: 'elsewhere', incarnation: located.incarnation }
        return
      }
      yield { kind: 'found', class: located.execution.request.class }
      yield * withKeepAlive(localSource(located.execution, clock), offset, signal)
    } catch (error) {
      yield { kind: 'failed', failure: toWireFailure(toServingError(error, 'may-have-run')) }
    }
  }

  return {
    submit: (send, signal) => forward(() => executions.submit(send.request, send.traceparent), send.offset, signal),
    attach: (lookup, signal) => forward(() => executions.find(lookup.organisation, lookup.id), lookup.offset, signal),
    handOver: (handOver) => {
      if (options.stopping()) return { taken: false }
      options.onHandOver(handOver.from)
      const newIds = new Set(home.takeOver(handOver.from, handOver.records, clock.now()))
      for (const handed of handOver.executions) {
        if (newIds.has(handed.request.id)) continueHandedOver(executions, handed, handOver.from)
      }
      return { taken: true }
    },
    locate: (lookup) => {
      const decision = home.find(lookup.organisation, lookup.id)
      return { holds: decision.kind !== 'ask-home' && decision.kind !== 'forgotten' }
    }
  }
}

/** Next event of a forwarded answer. `waiting` stands for a keep-alive. */
type ForwardStep = IteratorResult<AnswerPart> | 'accepted' | 'waiting'

async function * withKeepAlive (source: AnswerSource, offset: number, signal: AbortSignal): AsyncIterable<ForwardedPart> {
  const parts = source.read(offset, signal)[Symbol.asyncIterator]()
  let accepted: Promise<ForwardStep> | undefined = source.accepted.then(() => 'accepted' as const)
  let next = parts.next()
  try {
    for (;;) {
      const step = await nextStep(next, accepted, FORWARD_KEEP_ALIVE_PERIOD)
      if (step === 'waiting') {
        yield { kind: 'waiting' }
      } else if (step === 'accepted') {
        accepted = undefined
        yield { kind: 'accepted' }
      } else {
        if (step.done === true) return
        yield toForwardedPart(step.value)
        next = parts.next()
      }
    }
  } finally {
    await parts.return?.()
  }
}

/** Resolves with the first event, or with `waiting` after the timeout. */
function nextStep (next: Promise<ForwardStep>, accepted: Promise<ForwardStep> | undefined, timeout: Milliseconds): Promise<ForwardStep> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve('waiting'), timeout)
    const settle = (step: ForwardStep): void => {
      clearTimeout(timer)
      resolve(step)
    }
    next.then(settle, (error) => {
      clearTimeout(timer)
      reject(error)
    })
    accepted?.then(settle, () => {})
  })
}
