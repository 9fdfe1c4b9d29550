/** Sends messages about suspicion to peers: what is due to one peer shares an exchange. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Address } from '../identifiers.js'
import { exchangeJson } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'
import { SUSPICION_PATH, suspicionAnswersSchema } from './suspicion.js'
import type { SuspicionAnswer, SuspicionMessage } from './suspicion.js'

/** Whether a message is waited for. One that is not goes with the next that is, or a little later. */
export type Urgency = 'now' | 'soon'

/** Messages to peers. */
export interface SuspicionClient {
  /** Rejects with a ServingError when the peer does not answer on an old and on a new connection. */
  send (address: Address, message: SuspicionMessage, urgency: Urgency): Promise<SuspicionAnswer>
}

/** What the client needs. */
export interface SuspicionClientOptions {
  readonly connections: Connections
  /** Connections of one exchange each, for use after a failure. */
  readonly freshConnections: Connections
  readonly peerKey: string
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** Bound on the wait for an answer; it comes from memory. */
const ANSWER_TIMEOUT: Milliseconds = 500

/** Longest wait of a message that nobody waits for. */
const LINGER: Milliseconds = 25

const MOST_MESSAGES = 500

interface Waiting {
  readonly message: SuspicionMessage
  readonly settle: (answer: SuspicionAnswer) => void
  readonly fail: (error: unknown) => void
}

interface Queue {
  waiting: Waiting[]
  /** The queue is about to be sent. */
  due: boolean
}

/**
 * @example
 * const answer = await createSuspicionClient(options).send(address, { kind: 'acquire', request }, 'now')
 */
export function createSuspicionClient (options: SuspicionClientOptions): SuspicionClient {
  const { clock, signal } = options
  const headers = { authorization: `Bearer ${options.peerKey}` }
  const queues = new Map<Address, Queue>()

  function exchange (connections: Connections, address: Address, messages: readonly SuspicionMessage[]): Promise<{ answers: SuspicionAnswer[] }> {
    return exchangeJson(connections, { address, method: 'POST', path: SUSPICION_PATH, headers, body: { messages }, idleTimeout: ANSWER_TIMEOUT, signal }, suspicionAnswersSchema)
  }

  /**
   * Failure guarded against: the network has lost track of an open connection. It shows only silence, and
   * the peer answers on a new one. All messages may be sent twice: permits and evidence are sets.
   */
  async function deliver (address: Address, batch: readonly Waiting[]): Promise<void> {
    const messages = batch.map(({ message }) => message)
    try {
      const { answers } = await exchange(options.connections, address, messages).catch(() => exchange(options.freshConnections, address, messages))
      batch.forEach(({ settle }, index) => settle(answers[index] ?? { kind: 'taken' }))
    } catch (error) {
      for (const { fail } of batch) fail(error)
    }
  }

  function flush (address: Address, queue: Queue): void {
    queue.due = false
    while (queue.waiting.length > 0) deliver(address, queue.waiting.splice(0, MOST_MESSAGES)).catch(() => {})
  }

  return {
    send: (address, message, urgency) => new Promise((resolve, reject) => {
      const queue = queues.get(address) ?? { waiting: [], due: false }
      queues.set(address, queue)
      queue.waiting.push({ message, settle: resolve, fail: reject })
      if (urgency === 'now') queueMicrotask(() => flush(address, queue))
      else if (!queue.due) {
        queue.due = true
        clock.sleep(LINGER, signal).then(() => flush(address, queue), () => flush(address, queue))
      }
    })
  }
}
