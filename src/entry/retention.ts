/** Store of ended answers that callers may still read, with a memory limit. */
import type { RequestId } from '../identifiers.js'
import type { Execution } from './execution.js'

/** Store of the ended executions of one node. */
export interface Retention {
  /** Adds an ended execution, and drops the oldest ones while the estimated memory exceeds the limit. */
  keep (execution: Execution): void
  find (id: RequestId): Execution | undefined
  drop (id: RequestId): void
  all (): Iterable<Execution>
  /** Number of retained answers and their estimated memory in bytes. */
  usage (): { answers: number, bytes: number }
}

/** Estimated memory of an execution in addition to its texts, with the promises, signals and listeners of its run. */
const OVERHEAD_BYTES = 7_168

const BYTES_PER_CHARACTER = 2

interface RetainedAnswer {
  readonly execution: Execution
  readonly bytes: number
}

/**
 * Creates an empty store.
 *
 * @param maxBytes limit of the estimated memory, in bytes
 * @example
 * const retention = createRetention(67_108_864)
 */
export function createRetention (maxBytes: number): Retention {
  const retained = new Map<RequestId, RetainedAnswer>()
  let bytes = 0

  function drop (id: RequestId): void {
    const entry = retained.get(id)
    if (entry === undefined) return
    retained.delete(id)
    bytes -= entry.bytes
  }

  return {
    drop,
    find: (id) => retained.get(id)?.execution,
    all: () => [...retained.values()].map((entry) => entry.execution),
    keep: (execution) => {
      const entry = { execution, bytes: sizeOf(execution) }
      retained.set(execution.request.id, entry)
      bytes += entry.bytes
      for (const id of retained.keys()) {
        if (bytes <= maxBytes) return
        drop(id)
      }
    },
    usage: () => ({ answers: retained.size, bytes })
  }
}

/** Estimated memory of an execution, in bytes. */
function sizeOf (execution: Execution): number {
  const end = execution.answer.end()
  const responseLength = end?.kind === 'plain' ? end.response.body.length : 0
  const work = execution.request.work
  const requestLength = work.kind === 'plain' ? work.call.body.length : work.body.messages.reduce((sum, message) => sum + message.content.length, 0)
  return OVERHEAD_BYTES + BYTES_PER_CHARACTER * (execution.answer.text().length + responseLength + requestLength)
}
