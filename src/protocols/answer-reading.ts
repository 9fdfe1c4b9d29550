/**
 * How undici reads an answer from its connection: bounded, and paused without its parser.
 *
 * Failure guarded against: a faulty upstream sends without end what carries no content of an answer: what precedes its head, informational
 * answers, the head itself, or the framing of its body. The parser drops such bytes, so that nothing tells of them, and their request costs
 * processor time until its limit ends it.
 *
 * Failure guarded against: an answer without a length ends with its connection while undici's parser is paused. Undici's assertion that this
 * doesn't happen ends the process. So the parser is never paused; its connection gives it nothing to read instead.
 */
import { subscribe } from 'node:diagnostics_channel'
import type { Duplex } from 'node:stream'
import type { Dispatcher } from 'undici'

/** Reading of the answer to one request. */
export interface AnswerReading {
  /** The request is being written. To be called in `onRequestStart`, unless the request has been aborted. */
  begin (): void
  /** So many bytes of the content have arrived. */
  content (bytes: number): void
  /** No more is read until `resume`. Content of what has been read may still arrive. */
  pause (): void
  resume (): void
  /** The answer has ended, and its connection may serve another request. */
  end (): void
}

/** Bytes beside the content that any answer may have. Heads have 16 KiB at most. */
const MAX_FRAMING_BYTES = 65_536

/** Bytes of framing for each byte of the content. Chunks of two bytes have 2.5. */
const MAX_FRAMING_FACTOR = 4

/** Code of the error of a connection that is closed since its bytes make up no answer. */
const NO_ANSWER_CODE = 'NO_ANSWER'

/** State of an answer that is being read. */
interface Answer {
  received: number
  content: number
  isPaused: boolean
  /** Its connection, once undici has chosen it. */
  connection: Duplex | undefined
}

/** The request that is being written now. Undici writes it, and names its connection, right after `onRequestStart`. */
let beginning: Answer | undefined

/** The answer that each connection brings. */
const answers = new WeakMap<Duplex, Answer>()

subscribe('undici:client:sendHeaders', (message) => {
  if (beginning === undefined) return
  const { socket } = message as { readonly socket: Duplex }
  if (!answers.has(socket)) controlReads(socket)
  answers.set(socket, beginning)
  beginning.connection = socket
  beginning = undefined
})

/**
 * Creates the reading of one answer. Its connection is destroyed once the answer has too many bytes beside its content.
 *
 * @example
 * const reading = createAnswerReading()
 * connections.dispatch(options, { onRequestStart: () => reading.begin(), onResponseData: (_controller, chunk) => reading.content(chunk.length), ...rest })
 */
export function createAnswerReading (): AnswerReading {
  const answer: Answer = { received: 0, content: 0, isPaused: false, connection: undefined }

  function resume (): void {
    if (!answer.isPaused) return
    answer.isPaused = false
    // Not before the parser has returned, which may be calling this.
    queueMicrotask(readOn)
  }

  /** Undici reads when its connection says that there is something to read. */
  function readOn (): void {
    const { isPaused, connection } = answer
    if (!isPaused && connection !== undefined && answers.get(connection) === answer) connection.emit('readable')
  }

  return {
    begin: () => { beginning = answer },
    content: (bytes) => { answer.content += bytes },
    pause: () => { answer.isPaused = true },
    resume,
    end: resume
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
 * Reads all answers of a dispatcher so.
 *
 * @example
 * const agent = new Agent(options).compose(readAnswers)
 */
export function readAnswers (dispatch: Dispatcher['dispatch']): Dispatcher['dispatch'] {
  return (options, handler) => {
    const reading = createAnswerReading()
    let controller: Dispatcher.DispatchController | undefined
    const wrap = (original: Dispatcher.DispatchController): Dispatcher.DispatchController => (controller ??= pausedBy(reading, original))
    return dispatch(options, {
      onRequestStart: (original, context) => {
        handler.onRequestStart?.(wrap(original), context)
        if (!original.aborted) reading.begin()
      },
      onRequestUpgrade: (original, status, headers, socket) => handler.onRequestUpgrade?.(wrap(original), status, headers, socket),
      onResponseStart: (original, status, headers, text) => handler.onResponseStart?.(wrap(original), status, headers, text),
      onResponseData: (original, chunk) => {
        reading.content(chunk.length)
        handler.onResponseData?.(wrap(original), chunk)
      },
      onResponseEnd: (original, trailers) => {
        handler.onResponseEnd?.(wrap(original), trailers)
        reading.end()
      },
      onResponseError: (original, error) => {
        handler.onResponseError?.(wrap(original), error)
        reading.end()
      }
    })
  }
}

/** The controller of an exchange, which pauses the reading of its answer. */
function pausedBy (reading: AnswerReading, original: Dispatcher.DispatchController): Dispatcher.DispatchController {
  let isPaused = false
  return {
    get aborted () { return original.aborted },
    get paused () { return isPaused },
    get reason () { return original.reason },
    get rawHeaders () { return original.rawHeaders },
    get rawTrailers () { return original.rawTrailers },
    abort: (reason) => original.abort(reason),
    pause: () => {
      isPaused = true
      reading.pause()
    },
    resume: () => {
      isPaused = false
      reading.resume()
    }
  } as Dispatcher.DispatchController
}

/** Decides at each read of undici's parser whether it gets anything. */
function controlReads (connection: Duplex): void {
  const read = connection.read.bind(connection)
  connection.read = (size) => {
    const answer = answers.get(connection)
    if (answer === undefined) return read(size)
    if (answer.isPaused) return null
    if (!isPlausible(answer)) {
      connection.destroy(Object.assign(new Error('the bytes of the connection make up no answer'), { code: NO_ANSWER_CODE }))
      return null
    }
    const chunk = read(size) as Buffer | null
    if (chunk !== null) answer.received += chunk.length
    return chunk
  }
}

function isPlausible ({ received, content }: Answer): boolean {
  return received - content <= MAX_FRAMING_BYTES + content * MAX_FRAMING_FACTOR
}
