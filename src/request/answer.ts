/**
 * The answer to one request as its home holds it: tokens by offset, then one final mark. Readers
 * attach at any offset and every reader sees the same continuous sequence.
 */
import type { Milliseconds } from '../clock.js'
import type { Usage } from '../upstream/index.js'
import type { ServingError } from '../verdict.js'
import type { AnswerToken, FinishReason } from './types.js'

/** Final mark of an answer. Until there is one, what has been read is a fragment. */
export type AnswerEnd =
  | { kind: 'finished', finish: FinishReason, usage: Usage }
  | { kind: 'plain', response: PlainResponse }
  | { kind: 'failed', failure: ServingError }
  /** The request continues at another node; the caller resumes there from its offset. */
  | { kind: 'moved', retryAfter: Milliseconds }

/** Answer of a plain service. */
export interface PlainResponse {
  readonly status: number
  readonly headers: readonly (readonly [string, string])[]
  /** Base64 of the body's bytes. */
  readonly body: string
}

/** What a reader receives. */
export type AnswerPart = { kind: 'token', token: AnswerToken } | AnswerEnd

/** An answer being written and read. */
export interface Answer {
  /** Tokens present. */
  offset (): number
  text (): string
  end (): AnswerEnd | undefined
  /**
   * Adds the token at its offset. A token already present is dropped, so two attempts may overlap.
   *
   * @throws RangeError for a gap: the answer would be a fragment
   */
  append (token: AnswerToken): void
  /** Sets the final mark; the first one stays. */
  close (end: AnswerEnd): void
  /** Parts from an offset on, ending with the final mark. Stops early when the signal aborts. */
  read (offset: number, signal: AbortSignal): AsyncIterable<AnswerPart>
  /** Resolves when fewer than `ahead` tokens are unread by the fastest reader, or nobody reads. */
  room (ahead: number, signal: AbortSignal): Promise<void>
}

interface Reader {
  next: number
}

/**
 * @param tokens tokens already known, when a request is continued after a hand-over
 * @example
 * const answer = createAnswer()
 * answer.append({ offset: 0, text: 'Rinse ' })
 */
export function createAnswer (tokens: readonly string[] = []): Answer {
  const texts = [...tokens]
  const readers = new Set<Reader>()
  let end: AnswerEnd | undefined
  /** Readers that wait for tokens or the end. */
  const content = createWaiters()
  /** Writers that wait for readers to go on. */
  const progress = createWaiters()

  function unread (): number {
    if (readers.size === 0) return 0
    return texts.length - Math.max(...[...readers].map((reader) => reader.next))
  }

  function mustWait (ahead: number): boolean {
    return end === undefined && unread() >= ahead
  }

  return {
    offset: () => texts.length,
    text: () => texts.join(''),
    end: () => end,
    append: (token) => {
      if (end !== undefined || token.offset < texts.length) return
      if (token.offset > texts.length) throw new RangeError(`answer has ${texts.length} tokens and cannot continue at ${token.offset}`)
      texts.push(token.text)
      content.wake()
    },
    close: (mark) => {
      end ??= mark
      content.wake()
      progress.wake()
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
          progress.wake()
          if (!signal.aborted && reader.next >= texts.length && end === undefined) await content.wait(signal)
        }
      } finally {
        readers.delete(reader)
        progress.wake()
      }
    },
    room: async (ahead, signal) => {
      while (mustWait(ahead) && !signal.aborted) await progress.wait(signal)
    }
  }
}

/**
 * Failure guarded against: with one list for both sides, a reader that has caught up wakes the other
 * waiting readers, they wake it, and the process does nothing else any more. Each side wakes the other only.
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
