/** Conversion of answer parts to and from the messages in which nodes forward them. */
import { fromWireFailure, toWireFailure } from '../peer/request.js'
import type { ForwardedPart } from '../peer/request.js'
import type { AnswerPart } from '../request/index.js'

/**
 * Converts a part of an answer to the message that forwards it to another node.
 *
 * @example
 * toForwardedPart({ kind: 'moved', retryAfter: 0 })
 */
export function toForwardedPart (part: AnswerPart): ForwardedPart {
  switch (part.kind) {
    case 'token': return { kind: 'token', offset: part.token.offset, text: part.token.text }
    case 'finished': return part
    case 'plain': return { kind: 'plain', response: { ...part.response, headers: part.response.headers.map(([name, value]) => [name, value]) } }
    case 'failed': return { kind: 'failed', failure: toWireFailure(part.failure) }
    case 'moved': return part
  }
}

/**
 * Converts a forwarded message to the part of the answer that it contains.
 *
 * @example
 * toAnswerPart({ kind: 'token', offset: 0, text: 'Rinse ' })
 */
export function toAnswerPart (part: Exclude<ForwardedPart, { kind: 'found' | 'accepted' | 'waiting' | 'elsewhere' }>): AnswerPart {
  switch (part.kind) {
    case 'token': return { kind: 'token', token: { offset: part.offset, text: part.text } }
    case 'failed': return { kind: 'failed', failure: fromWireFailure(part.failure) }
    case 'finished': return part
    case 'plain': return part
    case 'moved': return part
  }
}
