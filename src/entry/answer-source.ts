/** Sources from which the caller API reads answers, whether the request runs at this node or at another one. */
import type { Clock } from '../clock.js'
import type { ClassName, RequestId } from '../identifiers.js'
import type { AnswerPart } from '../request/index.js'
import type { Execution } from './execution.js'

/** Source of the answer to one request. */
export interface AnswerSource {
  readonly id: RequestId
  readonly class: ClassName
  /** Resolves when the request is accepted. Never settles if the request is refused. */
  readonly accepted: Promise<void>
  /**
   * Yields the tokens from an offset on, then the final event. Stops early when the signal aborts.
   *
   * @throws ServingError if the node that holds the answer cannot be reached
   */
  read (offset: number, signal: AbortSignal): AsyncIterable<AnswerPart>
}

/**
 * Creates the source of a request that runs at this node. Counts the readers of the answer and records when the last
 * reader left. An answer without readers is cancelled after a grace period, within which its caller may resume.
 *
 * @example
 * for await (const part of localSource(execution, clock).read(0, signal)) send(part)
 */
export function localSource (execution: Execution, clock: Clock): AnswerSource {
  return {
    id: execution.request.id,
    class: execution.request.class,
    accepted: execution.acceptance,
    read: (offset, signal) => readCounted(execution, clock, offset, signal)
  }
}

async function * readCounted (execution: Execution, clock: Clock, offset: number, signal: AbortSignal): AsyncIterable<AnswerPart> {
  execution.readers += 1
  try {
    yield * execution.answer.read(offset, signal)
  } finally {
    execution.readers -= 1
    if (execution.readers === 0) execution.unreadSince = clock.now()
  }
}
