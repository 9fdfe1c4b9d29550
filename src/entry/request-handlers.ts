/** What this node does when peers ask about requests: the home's side of a forwarded send. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import type { HomeTable } from '../request/index.js'
import type { ForwardedPart, RequestHandlers } from '../peer/request.js'
import { toWire } from '../peer/request.js'
import type { AnswerPart } from '../request/index.js'
import { toServingError } from '../verdict.js'
import { localSource } from './answer-source.js'
import type { AnswerSource } from './answer-source.js'
import { toPart } from './forwarded.js'
import { continueHandedOver } from './hand-over.js'
import type { Executions, Located } from './submission.js'

/** A forwarded answer without news shows this often that its home lives. */
export const FORWARD_KEEP_ALIVE: Milliseconds = 2 * SECOND

/**
 * @example
 * createPeerServer(settings.peer_key, { agreement, request: createRequestHandlers({ executions, home, clock, stopping, onHandOver }) })
 */
export function createRequestHandlers (options: { executions: Executions, home: HomeTable, clock: Clock, stopping: () => boolean, onHandOver: (from: Incarnation) => void }): RequestHandlers {
  const { executions, home, clock } = options

  /** A refusal is a part, too: as a tRPC error it would lose its verdict. */
  async function * forward (locate: () => Located, offset: number, signal: AbortSignal): AsyncIterable<ForwardedPart> {
    try {
      const located = locate()
      if (located.kind === 'elsewhere') {
        yield { kind: 'elsewhere', incarnation: located.incarnation }
        return
      }
      yield { kind: 'found', class: located.execution.request.class }
      yield * withKeepAlive(localSource(located.execution, clock), offset, signal)
    } catch (error) {
      yield { kind: 'failed', failure: toWire(toServingError(error, 'may-have-run')) }
    }
  }

  return {
    submit: (send, signal) => forward(() => executions.submit(send.request, send.traceparent), send.offset, signal),
    attach: (lookup, signal) => forward(() => executions.find(lookup.organisation, lookup.id), lookup.offset, signal),
    handOver: (handOver) => {
      if (options.stopping()) return { taken: false }
      options.onHandOver(handOver.from)
      const fresh = new Set(home.takeOver(handOver.from, handOver.records, clock.now()))
      for (const handed of handOver.executions) {
        if (fresh.has(handed.request.id)) continueHandedOver(executions, handed, handOver.from)
      }
      return { taken: true }
    },
    locate: (lookup) => {
      const decision = home.find(lookup.organisation, lookup.id)
      return { holds: decision.kind !== 'ask-home' && decision.kind !== 'forgotten' }
    }
  }
}

type Step = IteratorResult<AnswerPart> | 'accepted' | 'waiting'

async function * withKeepAlive (source: AnswerSource, offset: number, signal: AbortSignal): AsyncIterable<ForwardedPart> {
  const parts = source.read(offset, signal)[Symbol.asyncIterator]()
  let accepted: Promise<Step> | undefined = source.accepted.then(() => 'accepted' as const)
  let next = parts.next()
  try {
    for (;;) {
      const step = await firstOf(next, accepted, FORWARD_KEEP_ALIVE)
      if (step === 'waiting') {
        yield { kind: 'waiting' }
      } else if (step === 'accepted') {
        accepted = undefined
        yield { kind: 'accepted' }
      } else {
        if (step.done === true) return
        yield toPart(step.value)
        next = parts.next()
      }
    }
  } finally {
    await parts.return?.()
  }
}

function firstOf (next: Promise<Step>, accepted: Promise<Step> | undefined, patience: Milliseconds): Promise<Step> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve('waiting'), patience)
    const settle = (step: Step): void => {
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
