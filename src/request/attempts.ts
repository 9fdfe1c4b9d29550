/**
 * Merges the events of a request's attempts into one answer.
 *
 * Events may arrive late, twice, out of order, from an abandoned attempt, or from two attempts at once. The caller
 * receives one complete answer, in which each attempt continues where the previous one stopped.
 */
import type { Usage } from '../upstream/index.js'
import type { AnswerToken, FinishReason } from './types.js'

/** Event of an attempt. */
export type AttemptEvent =
  | { kind: 'token', offset: number, text: string }
  /** `tokens` is the offset after the last token. Undefined if the upstream does not report it. */
  | { kind: 'finished', tokens?: number, finish: FinishReason, usage: Usage }
  /** The attempt ended without a `finished` event. */
  | { kind: 'failed' }

/** What the caller of the matcher has to do. */
export type AttemptEffect =
  | { kind: 'append', token: AnswerToken }
  /** The answer is complete. */
  | { kind: 'finish', finish: FinishReason, usage: Usage }
  /** The attempt is no longer needed: cancel it and destroy its connection. */
  | { kind: 'cancel', attempt: number }
  /** No attempt is left and the answer is incomplete. */
  | { kind: 'starved' }

/** The attempts of one request. */
export interface AttemptMatcher {
  /** Registers an attempt that continues the answer at the current offset. */
  begin (attempt: number): void
  handle (attempt: number, event: AttemptEvent): AttemptEffect[]
  /** Number of tokens in the answer so far. */
  offset (): number
}

interface OpenAttempt {
  /** Offset at which the attempt continues the answer. */
  readonly base: number
  /** Tokens that have arrived, repeated ones included. */
  received: number
  /** Tokens that arrived before the tokens preceding them, by offset. */
  readonly earlyTokens: Map<number, string>
  finished: Extract<AttemptEvent, { kind: 'finished' }> | undefined
}

/** Maximum number of early tokens kept per attempt. An attempt that exceeds it is treated as failed. */
const MAX_EARLY_TOKENS = 256

/** Number of times that an attempt may send each token. One that sends more is treated as failed. */
const MAX_COPIES = 4

/** Maximum number of characters of an answer. An attempt that exceeds it is treated as failed. */
const MAX_ANSWER_CHARACTERS = 16_777_216

/**
 * Creates the matcher of one request.
 *
 * @param offset number of tokens that already exist, for a request that was taken over
 * @param maxTokens maximum number of tokens that the request allows
 * @example
 * const matcher = createAttemptMatcher(0, 512)
 * matcher.begin(1)
 * for (const effect of matcher.handle(1, { kind: 'token', offset: 0, text: 'Rinse ' })) carryOut(effect)
 */
export function createAttemptMatcher (offset: number, maxTokens: number): AttemptMatcher {
  const open = new Map<number, OpenAttempt>()
  let length = offset
  let characters = 0
  let selectedAttempt: number | undefined
  let isComplete = false

  /**
   * Selects the attempt that continues the answer and cancels the others.
   *
   * Failure guarded against: two attempts generate different texts, and their tokens interleave into an answer that
   * neither of them gave. The first attempt that continues the answer is selected, and the others are cancelled. An
   * attempt is also cancelled if the answer has passed its start offset through another attempt.
   */
  function select (attempt: number): AttemptEffect[] {
    if (selectedAttempt === attempt) return []
    selectedAttempt = attempt
    return cancelOthers(attempt)
  }

  function mayContinue (attempt: number, state: OpenAttempt): boolean {
    return selectedAttempt === attempt || state.base === length
  }

  function cancelOthers (attempt: number): AttemptEffect[] {
    const others = [...open.keys()].filter((other) => other !== attempt)
    for (const other of others) open.delete(other)
    return others.map((other) => ({ kind: 'cancel', attempt: other }))
  }

  function removeAttempt (attempt: number): AttemptEffect[] {
    open.delete(attempt)
    if (selectedAttempt === attempt) selectedAttempt = undefined
    return open.size === 0 && !isComplete ? [{ kind: 'starved' }] : []
  }

  function cancel (attempt: number): AttemptEffect[] {
    return [{ kind: 'cancel', attempt }, ...removeAttempt(attempt)]
  }

  /** Failure guarded against: an upstream sends tokens without end, which fill the memory of the node, or the same ones again and again. */
  function isExcessive (state: OpenAttempt, token: AnswerToken): boolean {
    state.received += 1
    characters += token.text.length
    return token.offset >= maxTokens || state.received > maxTokens * MAX_COPIES || characters > MAX_ANSWER_CHARACTERS
  }

  function acceptToken (attempt: number, state: OpenAttempt, token: AnswerToken): AttemptEffect[] {
    if (isExcessive(state, token)) return cancel(attempt)
    if (token.offset < length) return []
    if (token.offset > length) {
      state.earlyTokens.set(token.offset, token.text)
      return state.earlyTokens.size > MAX_EARLY_TOKENS ? cancel(attempt) : []
    }
    if (!mayContinue(attempt, state)) return cancel(attempt)
    const effects = select(attempt)
    for (let text: string | undefined = token.text; text !== undefined; text = takeEarlyToken(state, length)) {
      effects.push({ kind: 'append', token: { offset: length, text } })
      length += 1
    }
    return [...effects, ...finishIfComplete(attempt, state)]
  }

  /**
   * Finishes the answer if the attempt's `finished` event and all tokens before it have arrived.
   *
   * Failure guarded against: the `finished` event overtakes tokens that are still in transit, and an incomplete
   * answer is taken for complete. The answer therefore finishes only when all tokens before the end are present.
   */
  function finishIfComplete (attempt: number, state: OpenAttempt): AttemptEffect[] {
    const finishedEvent = state.finished
    if (finishedEvent === undefined || state.earlyTokens.size > 0 || (finishedEvent.tokens !== undefined && finishedEvent.tokens > length)) return []
    if (!mayContinue(attempt, state)) return cancel(attempt)
    const effects = select(attempt)
    isComplete = true
    open.clear()
    return [...effects, { kind: 'finish', finish: finishedEvent.finish, usage: finishedEvent.usage }]
  }

  return {
    offset: () => length,
    begin: (attempt) => {
      if (!isComplete) open.set(attempt, { base: length, received: 0, earlyTokens: new Map(), finished: undefined })
    },
    handle: (attempt, event) => {
      const state = open.get(attempt)
      if (state === undefined) return []
      switch (event.kind) {
        case 'token': return acceptToken(attempt, state, { offset: event.offset, text: event.text })
        case 'finished':
          state.finished ??= event
          return finishIfComplete(attempt, state)
        case 'failed': return removeAttempt(attempt)
      }
    }
  }
}

function takeEarlyToken (state: OpenAttempt, offset: number): string | undefined {
  const text = state.earlyTokens.get(offset)
  state.earlyTokens.delete(offset)
  return text
}
