/** Reads answers that are not streams: held whole where the node has room for them, otherwise passed on as they come. */
import type { ServerResponse } from 'node:http'
import { writeWithBackpressure } from '../caller/http.js'
import type { AnswerPace } from './answer-pace.js'
import type { UpstreamAnswer } from './exchange.js'
import type { HeldAnswer } from './held-answers.js'

/** What bounds the cost of an answer. */
export interface AnswerBounds {
  readonly held: HeldAnswer
  readonly pace: AnswerPace
  /** Aborts when the caller has disconnected or the time limit is reached. */
  readonly signal: AbortSignal
}

/** What becomes of an answer that the node doesn't hold whole. */
export interface LongAnswerHandlers {
  /** The answer is longer than any that is held. @returns whether it is given up, which is only possible before any of it is passed on */
  readonly onTooLong: () => boolean
  /** Called before the first bytes are passed on. @returns the headers of the answer, names and values in turn */
  readonly onPassingOn: () => string[]
}

/** How the answer has been read. */
export type PlainAnswerEnd =
  /** Nothing has been sent to the caller. `release` gives up the body; otherwise it is held until the caller's answer has ended. */
  | { readonly kind: 'held', readonly body: readonly Buffer[], readonly release: () => void }
  /** The caller has got the answer. */
  | { readonly kind: 'passed-on' }

/**
 * Reads an answer to its end.
 *
 * Failure guarded against: an answer without end, or many long ones, fill the memory of the node. What goes beyond its room is passed on, and
 * the upstream waits for the caller. Such an answer tells its own end, by its length or in chunks, so that one that breaks off does
 * not look complete.
 *
 * @throws the error of a body that is cut short, or that is given up
 * @example
 * const end = await readPlainAnswer(answer, response, bounds, { onTooLong: () => mayRetry(), onPassingOn: () => format.answerHeaders(answer.headers) })
 */
export async function readPlainAnswer (answer: UpstreamAnswer, response: ServerResponse, { held, pace, signal }: AnswerBounds, { onTooLong, onPassingOn }: LongAnswerHandlers): Promise<PlainAnswerEnd> {
  const body: Buffer[] = []
  let isPassedOn = false
  response.once('close', held.release)

  /** Sends what is held, and resolves when the connection has taken it, with the chunk that no longer fitted. */
  async function beginPassingOn (chunk: Buffer): Promise<void> {
    isPassedOn = true
    const length = answer.headers['content-length']
    response.writeHead(answer.status, [...onPassingOn(), ...(length === undefined ? [] : ['content-length', String(length)])])
    const bytes = body.reduce((sum, one) => sum + one.length, 0)
    for (const one of body.splice(0)) response.write(one)
    await Promise.all([passOn(chunk), pace.passed(bytes, 1, signal)])
    held.release()
  }

  function passOn (chunk: Buffer): Promise<unknown> | undefined {
    const written = writeWithBackpressure(response, chunk, signal)
    const paced = pace.passed(chunk.length, 1, signal)
    return written === undefined && paced === undefined ? undefined : Promise.all([written, paced])
  }

  try {
    await answer.body.read((chunk) => {
      if (isPassedOn) return passOn(chunk)
      switch (held.take(chunk.length)) {
        case 'held':
          body.push(chunk)
          return
        case 'too-long':
          if (onTooLong()) throw new Error('the answer is too long')
      }
      return beginPassingOn(chunk)
    })
  } catch (error) {
    held.release()
    throw error
  }
  if (!isPassedOn) return { kind: 'held', body, release: held.release }
  response.end()
  return { kind: 'passed-on' }
}
