/** Client for suspicion messages. Messages that are due for the same peer at the same time share one HTTP exchange. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Address } from '../identifiers.js'
import { exchangeJson } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'
import { SUSPICION_PATH, suspicionAnswersSchema } from './suspicion.js'
import type { SuspicionAnswer, SuspicionMessage } from './suspicion.js'

/**
 * Whether the sender waits for the answer. A message with urgency `now` is sent immediately. A message with urgency
 * `soon` is sent together with the next urgent message to the same peer, or after {@link MAX_BATCHING_DELAY}.
 */
export type Urgency = 'now' | 'soon'

/** Sends messages to peers. */
export interface SuspicionClient {
  /** Rejects with a ServingError if the peer answers neither on an existing connection nor on a new connection. */
  send (address: Address, message: SuspicionMessage, urgency: Urgency): Promise<SuspicionAnswer>
}

/** Options of {@link createSuspicionClient}. */
export interface SuspicionClientOptions {
  readonly connections: Connections
  /** Connections that are closed after one exchange, for the repetition after a failure. */
  readonly freshConnections: Connections
  readonly peerKey: string
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** Maximum wait for an answer. The peer answers from memory, so a longer wait means that the answer is lost. */
const ANSWER_TIMEOUT: Milliseconds = 500

/** Maximum delay of a message with urgency `soon`. */
const MAX_BATCHING_DELAY: Milliseconds = 25

/** Maximum number of messages in one exchange. The server accepts 1000. */
const MAX_MESSAGES_PER_EXCHANGE = 500

interface PendingMessage {
  readonly message: SuspicionMessage
  readonly settle: (answer: SuspicionAnswer) => void
  readonly fail: (error: unknown) => void
}

interface MessageQueue {
  waiting: PendingMessage[]
  /** Whether a timer for sending the queue is running. */
  due: boolean
}

/**
 * Creates a client for suspicion messages.
 *
 * @example
 * const answer = await createSuspicionClient(options).send(address, { kind: 'acquire', request }, 'now')
 */
export function createSuspicionClient (options: SuspicionClientOptions): SuspicionClient {
  const { clock, signal } = options
  const headers = { authorization: `Bearer ${options.peerKey}` }
  const queues = new Map<Address, MessageQueue>()

  function exchange (connections: Connections, address: Address, messages: readonly SuspicionMessage[]): Promise<{ answers: SuspicionAnswer[] }> {
    return exchangeJson(connections, { address, method: 'POST', path: SUSPICION_PATH, headers, body: { messages }, idleTimeout: ANSWER_TIMEOUT, signal }, suspicionAnswersSchema)
  }

  /**
   * Sends a batch, and repeats a failed exchange once on a new connection.
   *
   * Failure guarded against: the network drops the state of an open connection without closing the connection. The
   * exchange then times out, although the peer would answer on a new connection. Repeating is safe, because permits
   * and evidence are sets and a repeated message has no further effect.
   */
  async function sendBatch (address: Address, batch: readonly PendingMessage[]): Promise<void> {
    const messages = batch.map(({ message }) => message)
    try {
      const { answers } = await exchange(options.connections, address, messages).catch(() => exchange(options.freshConnections, address, messages))
      batch.forEach(({ settle }, index) => settle(answers[index] ?? { kind: 'taken' }))
    } catch (error) {
      for (const { fail } of batch) fail(error)
    }
  }

  function flush (address: Address, queue: MessageQueue): void {
    queue.due = false
    while (queue.waiting.length > 0) sendBatch(address, queue.waiting.splice(0, MAX_MESSAGES_PER_EXCHANGE)).catch(() => {})
  }

  return {
    send: (address, message, urgency) => new Promise((resolve, reject) => {
      const queue = queues.get(address) ?? { waiting: [], due: false }
      queues.set(address, queue)
      queue.waiting.push({ message, settle: resolve, fail: reject })
      if (urgency === 'now') queueMicrotask(() => flush(address, queue))
      else if (!queue.due) {
        queue.due = true
        clock.sleep(MAX_BATCHING_DELAY, signal).then(() => flush(address, queue), () => flush(address, queue))
      }
    })
  }
}
