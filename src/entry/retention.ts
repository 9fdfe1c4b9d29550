/** Ended answers that callers may still ask for, within bounds of time and bytes. */
import type { RequestId } from '../identifiers.js'
import type { Execution } from './execution.js'

/** Ended executions of one node. */
export interface Retention {
  /** Keeps an ended answer, and drops the oldest ones beyond the bound on bytes. */
  keep (execution: Execution): void
  find (id: RequestId): Execution | undefined
  drop (id: RequestId): void
  all (): Iterable<Execution>
  usage (): { answers: number, bytes: number }
}

/** Estimated bytes of an answer besides its text. */
const OVERHEAD_BYTES = 512

const BYTES_PER_CHARACTER = 2

interface Kept {
  readonly execution: Execution
  readonly bytes: number
}

/**
 * @param mostBytes bound on the estimated memory
 * @example
 * const retention = createRetention(67_108_864)
 */
export function createRetention (mostBytes: number): Retention {
  const kept = new Map<RequestId, Kept>()
  let bytes = 0

  function drop (id: RequestId): void {
    const one = kept.get(id)
    if (one === undefined) return
    kept.delete(id)
    bytes -= one.bytes
  }

  return {
    drop,
    find: (id) => kept.get(id)?.execution,
    all: () => [...kept.values()].map((one) => one.execution),
    keep: (execution) => {
      const one = { execution, bytes: sizeOf(execution) }
      kept.set(execution.request.id, one)
      bytes += one.bytes
      for (const id of kept.keys()) {
        if (bytes <= mostBytes) return
        drop(id)
      }
    },
    usage: () => ({ answers: kept.size, bytes })
  }
}

function sizeOf (execution: Execution): number {
  const end = execution.answer.end()
  const plain = end?.kind === 'plain' ? end.response.body.length : 0
  const work = execution.request.work
  const asked = work.kind === 'plain' ? work.call.body.length : work.body.messages.reduce((sum, message) => sum + message.content.length, 0)
  return OVERHEAD_BYTES + BYTES_PER_CHARACTER * (execution.answer.text().length + plain + asked)
}
