/** An answer as the callers' API reads it, whether its request runs here or at another node. */
import type { Clock } from '../clock.js'
import type { ClassName, RequestId } from '../identifiers.js'
import type { AnswerPart } from '../request/index.js'
import type { Execution } from './execution.js'

/** Where an answer is read from. */
export interface AnswerSource {
  readonly id: RequestId
  readonly class: ClassName
  /** Resolves when the request is accepted; stays open when it is refused. */
  readonly accepted: Promise<void>
  /**
   * Parts from an offset on, ending with the final mark. Stops early when the signal aborts.
   *
   * @throws ServingError when the node that has the answer cannot be asked
   */
  read (offset: number, signal: AbortSignal): AsyncIterable<AnswerPart>
}

/**
 * Source for a request that runs here. It counts its readers, so that an answer nobody wants any more
 * can be told from one whose caller is about to resume.
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
