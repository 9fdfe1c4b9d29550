/**
 * Reading of server-sent events (https://html.spec.whatwg.org/multipage/server-sent-events.html), as
 * model engines and the callers' API send them.
 */

/** One event. */
export interface ServerSentEvent {
  readonly id: string | undefined
  readonly event: string
  readonly data: string
}

/** Longest accepted event, in characters; a longer one ends the stream with an error. */
const LONGEST_EVENT = 1_048_576

/**
 * @param body bytes of a `text/event-stream`
 * @returns its events in order; an unfinished last event is dropped, as the standard says
 * @throws RangeError for an event beyond the bound
 * @example
 * for await (const event of readEvents(response.body)) handle(event.data)
 */
export async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncIterable<ServerSentEvent> {
  const decoder = new TextDecoder()
  let rest = ''
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true })
    const blocks = rest.split(/\r?\n\r?\n/)
    rest = blocks.pop() ?? ''
    if (rest.length > LONGEST_EVENT) throw new RangeError('server-sent event is too long')
    yield * blocks.map(parseEvent).filter((event) => event.data !== '')
  }
}

/**
 * One event as bytes of a `text/event-stream`.
 *
 * @example
 * formatEvent('[DONE]') // 'data: [DONE]\n\n'
 */
export function formatEvent (data: string, id?: number): string {
  return id === undefined ? `data: ${data}\n\n` : `id: ${id}\ndata: ${data}\n\n`
}

function parseEvent (block: string): ServerSentEvent {
  let id: string | undefined
  let event = 'message'
  const data: string[] = []
  for (const line of block.split(/\r?\n/)) {
    const [field, value] = splitField(line)
    if (field === 'data') data.push(value)
    if (field === 'id') id = value
    if (field === 'event') event = value
  }
  return { id, event, data: data.join('\n') }
}

function splitField (line: string): [string, string] {
  const colon = line.indexOf(':')
  if (colon < 0) return [line, '']
  const value = line.slice(colon + 1)
  return [line.slice(0, colon), value.startsWith(' ') ? value.slice(1) : value]
}
