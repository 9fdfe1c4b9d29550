/** Answers to callers that are not complete at the kernel yet. */
import type { Server, ServerResponse } from 'node:http'

/** Answers in progress at one server. */
export interface OpenAnswers {
  /** The request of this answer is handled from now on. */
  opened (response: ServerResponse): void
  /** Number of requests that are handled and whose answers have not been handed over completely. */
  count (): number
  /**
   * Closes connections without a request in progress.
   *
   * Failure guarded against: node:http takes a connection for idle once the end of its answer has been written, and closes it with what the
   * caller, which reads slowly, has not received yet. So nothing is closed while there is such an answer.
   */
  closeIdleConnections (): void
}

/**
 * Tracks the answers of a server.
 *
 * @example
 * const answers = trackAnswers(server)
 * answers.opened(response)
 * while (answers.count() > 0) await clock.sleep(50)
 */
export function trackAnswers (server: Server): OpenAnswers {
  const open = new Set<ServerResponse>()

  function isFlushing ({ writableEnded, writableFinished }: ServerResponse): boolean {
    return writableEnded && !writableFinished
  }

  return {
    opened: (response) => {
      open.add(response)
      response.once('close', () => open.delete(response))
    },
    count: () => open.size,
    closeIdleConnections: () => { if (![...open].some(isFlushing)) server.closeIdleConnections() }
  }
}
