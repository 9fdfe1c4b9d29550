/**
 * The answer to one request, held by the request's home: a sequence of tokens, followed by one final event.
 *
 * Readers may attach at any offset. All of them receive the same continuous sequence.
 */
import type { Milliseconds } from '../clock.js'
import type { Usage } from '../upstream/index.js'
import type { ServingError } from '../verdict.js'
import type { AnswerToken, FinishReason } from './types.js'

/** Final event of an answer. An answer without one is incomplete. */
export type AnswerEnd =
  | { kind: 'finished', finish: FinishReason, usage: Usage }
  | { kind: 'plain', response: PlainResponse }
  | { kind: 'failed', failure: ServingError }
  /** The request continues at another node. The caller resumes there from the offset that it has reached. */
  | { kind: 'moved', retryAfter: Milliseconds }

/** Response of a plain service. */
export interface PlainResponse {
  readonly status: number
  readonly headers: readonly (readonly [string, string])[]
  /** The bytes of the body, in Base64. */
  readonly body: string
  /** Set where the response did not tell its own end, so that a service that broke it off is not ruled out. */
  readonly endedWithConnection?: true | undefined
}

/** What a reader receives: a token or the final event. */
export type AnswerPart = { kind: 'token', token: AnswerToken } | AnswerEnd

/** An answer that is written and read at the same time. */
export interface Answer {
  /** Number of tokens so far. */
  offset (): number
  text (): string
  end (): AnswerEnd | undefined
  /**
   * Adds the token at its offset. A token that is already present is ignored, so two attempts may overlap.
   *
   * @throws RangeError if the token would leave a gap after the tokens so far
   */
  append (token: AnswerToken): void
  /** Sets the final event. Later calls have no effect. */
  close (end: AnswerEnd): void
  /** Yields the tokens from an offset on, then the final event. Stops early when the signal aborts. */
  read (offset: number, signal: AbortSignal): AsyncIterable<AnswerPart>
  /**
   * Resolves when the fastest reader has fewer than `maxUnread` tokens left to read. Resolves also if there are no
   * readers, if the answer has ended, or if the signal aborts.
   */
  waitForReaders (maxUnread: number, signal: AbortSignal): Promise<void>
}

interface Reader {
  next: number
}

/**
 * Creates an answer.
 *
 * @param tokens tokens that are already known, for a request that continues after a hand-over
 * @example
 * const answer = createAnswer()
 * answer.append({ offset: 0, text: 'Rinse ' })
 */
export function createAnswer (tokens: readonly string[] = []): Answer {
  const texts = [...tokens]
  const readers = new Set<Reader>()
  let end: AnswerEnd | undefined
  /** Readers that wait for tokens or the final event. */
  const contentWaiters = createWaiters()
  /** Writers that wait for readers to proceed. */
  const progressWaiters = createWaiters()

  function unread (): number {
    if (readers.size === 0) return 0
    return texts.length - Math.max(...[...readers].map((reader) => reader.next))
  }

  function isTooFarAhead (maxUnread: number): boolean {
    return end === undefined && unread() >= maxUnread
  }

  return {
    offset: () => texts.length,
    text: () => texts.join(''),
    end: () => end,
    append: (token) => {
      if (end !== undefined || token.offset < texts.length) return
      if (token.offset > texts.length) throw new RangeError(`answer has ${texts.length} tokens and cannot continue at ${token.offset}`)
      texts.push(token.text)
      contentWaiters.wake()
    },
    close: (finalEvent) => {
      end ??= finalEvent
      contentWaiters.wake()
      progressWaiters.wake()
    },
    read: async function * (offset, signal) {
      const reader = { next: offset }
      readers.add(reader)
      try {
        while (!signal.aborted) {
          while (reader.next < texts.length && !signal.aborted) {
            yield { kind: 'token', token: { offset: reader.next, text: texts[reader.next] as string } }
            reader.next += 1
          }
          if (end !== undefined && reader.next >= texts.length) {
            yield end
            return
          }
          progressWaiters.wake()
          if (!signal.aborted && reader.next >= texts.length && end === undefined) await contentWaiters.wait(signal)
        }
      } finally {
        readers.delete(reader)
        progressWaiters.wake()
      }
    },
    waitForReaders: async (maxUnread, signal) => {
      while (isTooFarAhead(maxUnread) && !signal.aborted) await progressWaiters.wait(signal)
    }
  }
}

/**
 * Creates a list of waiting callers that are woken together.
 *
 * Failure guarded against: with one list for readers and writers, a reader that has caught up wakes the other waiting
 * readers, which wake it in turn. The process would be busy with this forever. With two lists, readers wake only
 * writers and writers wake only readers. The final event wakes both.
 */
function createWaiters () {
  const waiting = new Set<() => void>()
  return {
    wake: (): void => {
      for (const finish of [...waiting]) finish()
    },
    wait: (signal: AbortSignal): Promise<void> => new Promise((resolve) => {
      const finish = (): void => {
        waiting.delete(finish)
        signal.removeEventListener('abort', finish)
        resolve()
      }
      signal.addEventListener('abort', finish, { once: true })
      waiting.add(finish)
    })
  }
}
