/**
 * Parsing and formatting of server-sent events (https://html.spec.whatwg.org/multipage/server-sent-events.html), which
 * model engines and the callers' API send.
 */

/** One server-sent event. */
export interface ServerSentEvent {
  readonly id: string | undefined
  /** Type of the event, `message` if none is given. */
  readonly event: string
  readonly data: string
}

/** Maximum length of an event. A longer event ends the stream with an error. */
const MAX_EVENT_CHARACTERS = 1_048_576

/**
 * Parses a stream of server-sent events.
 *
 * @param body bytes of a `text/event-stream`
 * @returns the events with data in order. An incomplete last event is discarded, as the standard requires
 * @throws RangeError for an event of more than 1,048,576 characters
 * @example
 * for await (const event of readEvents(response.body)) handle(event.data)
 */
export async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncIterable<ServerSentEvent> {
  const decoder = new TextDecoder()
  let remainder = ''
  for await (const chunk of body) {
    remainder += decoder.decode(chunk, { stream: true })
    const blocks = remainder.split(/\r?\n\r?\n/)
    remainder = blocks.pop() ?? ''
    if (remainder.length > MAX_EVENT_CHARACTERS) throw new RangeError('server-sent event is too long')
    yield * blocks.map(parseEvent).filter((event) => event.data !== '')
  }
}

/**
 * Formats one event of a `text/event-stream`. The data must be a single line.
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
