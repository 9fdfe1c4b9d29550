/**
 * Turns on the link of a leaving instance. One export runs at a time, whichever node ordered it, and
 * after each the rest is weighed again with the rate that was seen: what cannot end before the
 * deadline any more is given up at once, while there is time to compute it elsewhere.
 */
import type { Milliseconds } from '../../clock.js'
import type { RequestId } from '../../identifiers.js'
import type { LinkEstimate } from './link.js'

/** One export that wants the link. */
export interface TurnRequest {
  readonly id: RequestId
  /** Tokens of cache to send. */
  readonly tokens: number
  /** Planned start; smaller goes first. */
  readonly rank: number
  /** Nothing but an export can save the stream: it is never given up before the deadline. */
  readonly required: boolean
}

/** What becomes of a request for a turn. */
export interface TurnDecision {
  readonly id: RequestId
  readonly kind: 'go' | 'give-up'
}

/** The turns of one link. Neither I/O nor clock. */
export interface LinkTurns {
  ask (request: TurnRequest, now: Milliseconds): readonly TurnDecision[]
  /** An export has ended; `moved` when it succeeded. */
  ended (id: RequestId, moved: boolean, now: Milliseconds): readonly TurnDecision[]
  /** Time passed. */
  tick (now: Milliseconds): readonly TurnDecision[]
  /** The deadline has become another one. */
  until (deadline: Milliseconds): void
}

/** An export that takes this much longer than expected has lost its node; its turn passes on. */
const PATIENCE_FACTOR = 3

/** The same while nobody has seen the link's rate. */
const FIRST_PATIENCE_FACTOR = 8
const LEAST_PATIENCE: Milliseconds = 500

interface Turn {
  readonly request: TurnRequest
  readonly startedAt: Milliseconds
  readonly overdueAt: Milliseconds
}

/**
 * @param estimate learns from every export that ends
 * @param end time of the last use of the link
 * @example
 * const turns = createLinkTurns(estimate, deadline)
 * for (const decision of turns.ask(request, now)) answer(decision)
 */
export function createLinkTurns (estimate: LinkEstimate, end: Milliseconds): LinkTurns {
  const waiting = new Map<RequestId, TurnRequest>()
  let deadline = end
  let current: Turn | undefined

  function durationOf (request: TurnRequest): Milliseconds {
    const { rate, setup } = estimate.link()
    return setup + request.tokens / rate
  }

  function decide (now: Milliseconds): readonly TurnDecision[] {
    const ordered = [...waiting.values()].sort((left, right) =>
      Number(right.required) - Number(left.required) || left.rank - right.rank || (left.id < right.id ? -1 : 1))
    const decisions: TurnDecision[] = []
    if (current !== undefined && now >= current.overdueAt) current = undefined
    let freeAt = current === undefined ? now : Math.max(now, current.startedAt + durationOf(current.request))
    for (const request of ordered) {
      const endAt = freeAt + durationOf(request)
      if (endAt > deadline && !(request.required && now < deadline)) {
        decisions.push({ id: request.id, kind: 'give-up' })
        continue
      }
      freeAt = endAt
      if (current !== undefined) continue
      current = start(request, now)
      decisions.push({ id: request.id, kind: 'go' })
    }
    for (const decision of decisions) waiting.delete(decision.id)
    return decisions
  }

  function start (request: TurnRequest, now: Milliseconds): Turn {
    const factor = estimate.rate() === undefined ? FIRST_PATIENCE_FACTOR : PATIENCE_FACTOR
    return { request, startedAt: now, overdueAt: now + LEAST_PATIENCE + factor * durationOf(request) }
  }

  return {
    ask: (request, now) => {
      waiting.set(request.id, request)
      return decide(now)
    },
    ended: (id, moved, now) => {
      if (current?.request.id !== id) return []
      if (moved) estimate.observe(current.request.tokens, now - current.startedAt)
      current = undefined
      return decide(now)
    },
    tick: decide,
    until: (changed) => { deadline = changed }
  }
}
