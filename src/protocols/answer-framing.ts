/**
 * Watch over the bytes of an answer that carry none of its content: what precedes its head, informational answers, the head itself, and the
 * framing of its body.
 *
 * Failure guarded against: a faulty upstream sends such bytes without end. The parser drops them, so that nothing tells of them, and their
 * request costs processor time until its limit ends it.
 */
import { subscribe } from 'node:diagnostics_channel'
import type { Duplex } from 'node:stream'
import type { Dispatcher } from 'undici'

/** Watch over the answer to one request. */
export interface FramingWatch {
  /** The request is being written. To be called in `onRequestStart`, unless the request has been aborted. */
  begin (): void
  /** So many bytes of the content have arrived. */
  content (bytes: number): void
}

/** Bytes beside the content that any answer may have. Heads have 16 KiB at most. */
const MAX_FRAMING_BYTES = 65_536

/** Bytes of framing for each byte of the content. Chunks of two bytes have 2.5. */
const MAX_FRAMING_FACTOR = 4

/** Code of the error of a connection that is closed since its bytes make up no answer. */
const NO_ANSWER_CODE = 'NO_ANSWER'

/** What has been read of an answer. */
interface AnswerBytes {
  received: number
  content: number
}

/** The request that is being written now. Undici writes it, and names its connection, right after `onRequestStart`. */
let beginning: AnswerBytes | undefined

/** The answer that each connection brings. */
const answers = new WeakMap<Duplex, AnswerBytes>()

subscribe('undici:client:sendHeaders', (message) => {
  if (beginning === undefined) return
  const { socket } = message as { readonly socket: Duplex }
  if (!answers.has(socket)) countReads(socket)
  answers.set(socket, beginning)
  beginning = undefined
})

/**
 * Creates the watch over one answer. The connection is destroyed once the answer has too many bytes beside its content.
 *
 * @example
 * const framing = watchFraming()
 * connections.dispatch(options, { onRequestStart: () => framing.begin(), onResponseData: (_controller, chunk) => framing.content(chunk.length), ...rest })
 */
export function watchFraming (): FramingWatch {
  const bytes: AnswerBytes = { received: 0, content: 0 }
  return {
    begin: () => { beginning = bytes },
    content: (length) => { bytes.content += length }
  }
}

/**
 * Whether a connection was closed since its bytes make up no answer.
 *
 * @example
 * if (isNoAnswer(error)) return 'the upstream is faulty, and has not crashed'
 */
export function isNoAnswer (error: unknown): boolean {
  return (error as NodeJS.ErrnoException | undefined)?.code === NO_ANSWER_CODE
}

/**
 * Watches the answers of all requests of a dispatcher.
 *
 * @example
 * const agent = new Agent(options).compose(guardFraming)
 */
export function guardFraming (dispatch: Dispatcher['dispatch']): Dispatcher['dispatch'] {
  return (options, handler) => {
    const framing = watchFraming()
    return dispatch(options, {
      onRequestStart: (controller, context) => {
        handler.onRequestStart?.(controller, context)
        if (!controller.aborted) framing.begin()
      },
      onRequestUpgrade: (controller, status, headers, socket) => handler.onRequestUpgrade?.(controller, status, headers, socket),
      onResponseStart: (controller, status, headers, text) => handler.onResponseStart?.(controller, status, headers, text),
      onResponseData: (controller, chunk) => {
        framing.content(chunk.length)
        handler.onResponseData?.(controller, chunk)
      },
      onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
      onResponseError: (controller, error) => handler.onResponseError?.(controller, error)
    })
  }
}

/** Counts what undici's parser reads from a connection, without what it puts back. */
function countReads (connection: Duplex): void {
  const read = connection.read.bind(connection)
  const unshift = connection.unshift.bind(connection)
  connection.read = (size) => {
    const answer = answers.get(connection)
    if (answer !== undefined && !isPlausible(answer)) {
      connection.destroy(Object.assign(new Error('the bytes of the connection make up no answer'), { code: NO_ANSWER_CODE }))
      return null
    }
    const chunk = read(size) as Buffer | null
    if (answer !== undefined && chunk !== null) answer.received += chunk.length
    return chunk
  }
  connection.unshift = (chunk: Buffer, encoding) => {
    const answer = answers.get(connection)
    if (answer !== undefined) answer.received -= chunk.length
    unshift(chunk, encoding)
  }
}

function isPlausible ({ received, content }: AnswerBytes): boolean {
  return received - content <= MAX_FRAMING_BYTES + content * MAX_FRAMING_FACTOR
}
