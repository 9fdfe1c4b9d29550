/**
 * Matches what upstreams send to the one answer of a request, by attempt and offset. Pieces may come late,
 * twice, out of order, from an abandoned attempt or from two attempts at once; the caller gets one whole
 * answer, whose tokens all stem from attempts that continued each other.
 */
import type { Usage } from '../upstream/index.js'
import type { AnswerToken, FinishReason } from './types.js'

/** What an attempt sends. */
export type AttemptEvent =
  | { kind: 'token', offset: number, text: string }
  /** `tokens`: offset after the last token; undefined when the upstream does not tell it. */
  | { kind: 'finished', tokens?: number, finish: FinishReason, usage: Usage }
  /** The attempt ended without its final mark. */
  | { kind: 'failed' }

/** What to do next. */
export type AttemptEffect =
  | { kind: 'append', token: AnswerToken }
  /** The answer is whole. */
  | { kind: 'finish', finish: FinishReason, usage: Usage }
  /** Nothing of this attempt is wanted any more: cancel it and destroy its connection. */
  | { kind: 'cancel', attempt: number }
  /** No attempt is left and the answer is not whole. */
  | { kind: 'starved' }

/** The attempts of one request. */
export interface AttemptMatcher {
  /** Registers an attempt that continues the answer as it stands now. */
  begin (attempt: number): void
  handle (attempt: number, event: AttemptEvent): AttemptEffect[]
  /** Tokens of the answer so far. */
  offset (): number
}

interface OpenAttempt {
  /** Offset at which it continues the answer. */
  readonly base: number
  /** Pieces that came before their turn, by offset. */
  readonly early: Map<number, string>
  finished: Extract<AttemptEvent, { kind: 'finished' }> | undefined
}

/** Pieces kept that came before their turn; an attempt that leaves a wider gap has failed. */
const MOST_EARLY = 256

/**
 * @param offset tokens that exist already, for a request that was taken over
 * @example
 * const matcher = createAttemptMatcher(0)
 * matcher.begin(1)
 * for (const effect of matcher.handle(1, { kind: 'token', offset: 0, text: 'Rinse ' })) carryOut(effect)
 */
export function createAttemptMatcher (offset: number): AttemptMatcher {
  const open = new Map<number, OpenAttempt>()
  let length = offset
  let winner: number | undefined
  let whole = false

  /**
   * Failure guarded against: two attempts generate different words, and their pieces interleave into an
   * answer that neither gave. The first attempt to continue the answer goes on alone; the others are
   * cancelled, and so is one whose place in the answer was passed by another meanwhile.
   */
  function choose (attempt: number): AttemptEffect[] {
    if (winner === attempt) return []
    winner = attempt
    return cancelOthers(attempt)
  }

  function mayContinue (attempt: number, state: OpenAttempt): boolean {
    return winner === attempt || state.base === length
  }

  function cancelOthers (attempt: number): AttemptEffect[] {
    const others = [...open.keys()].filter((other) => other !== attempt)
    for (const other of others) open.delete(other)
    return others.map((other) => ({ kind: 'cancel', attempt: other }))
  }

  function drop (attempt: number): AttemptEffect[] {
    open.delete(attempt)
    if (winner === attempt) winner = undefined
    return open.size === 0 && !whole ? [{ kind: 'starved' }] : []
  }

  function acceptToken (attempt: number, state: OpenAttempt, token: AnswerToken): AttemptEffect[] {
    if (token.offset < length) return []
    if (token.offset > length) {
      state.early.set(token.offset, token.text)
      return state.early.size > MOST_EARLY ? [{ kind: 'cancel', attempt }, ...drop(attempt)] : []
    }
    if (!mayContinue(attempt, state)) return [{ kind: 'cancel', attempt }, ...drop(attempt)]
    const effects = choose(attempt)
    for (let text: string | undefined = token.text; text !== undefined; text = take(state, length)) {
      effects.push({ kind: 'append', token: { offset: length, text } })
      length += 1
    }
    return [...effects, ...finishIfWhole(attempt, state)]
  }

  /**
   * Failure guarded against: the final mark overtakes pieces that are still under way, and a fragment passes
   * as whole. The mark waits until every offset before it is there.
   */
  function finishIfWhole (attempt: number, state: OpenAttempt): AttemptEffect[] {
    const mark = state.finished
    if (mark === undefined || state.early.size > 0 || (mark.tokens !== undefined && mark.tokens > length)) return []
    if (!mayContinue(attempt, state)) return [{ kind: 'cancel', attempt }, ...drop(attempt)]
    const effects = choose(attempt)
    whole = true
    open.clear()
    return [...effects, { kind: 'finish', finish: mark.finish, usage: mark.usage }]
  }

  return {
    offset: () => length,
    begin: (attempt) => {
      if (!whole) open.set(attempt, { base: length, early: new Map(), finished: undefined })
    },
    handle: (attempt, event) => {
      const state = open.get(attempt)
      if (state === undefined) return []
      switch (event.kind) {
        case 'token': return acceptToken(attempt, state, { offset: event.offset, text: event.text })
        case 'finished':
          state.finished ??= event
          return finishIfWhole(attempt, state)
        case 'failed': return drop(attempt)
      }
    }
  }
}

function take (state: OpenAttempt, offset: number): string | undefined {
  const text = state.early.get(offset)
  state.early.delete(offset)
  return text
}
