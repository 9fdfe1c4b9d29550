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

/** Maximum number of characters from one event with data to the next one, comments included. More of them end the stream with an error. */
const MAX_EVENT_CHARACTERS = 1_048_576

/** Characters of a blank line that may be in earlier chunks than its last one. */
const MAX_SPLIT_BLANK_LINE = 3

const BLANK_LINE = /\r?\n\r?\n/

/**
 * Parses a stream of server-sent events.
 *
 * @param body bytes of a `text/event-stream`
 * @returns the events with data in order. An incomplete last event is discarded, as the standard requires
 * @throws RangeError for an event of more than 1,048,576 characters, or as many without an event
 * @example
 * for await (const event of readEvents(response.body)) handle(event.data)
 */
export async function * readEvents (body: AsyncIterable<Uint8Array>): AsyncIterable<ServerSentEvent> {
  const decoder = new TextDecoder()
  const remainder: string[] = []
  let tail = ''
  let charactersSinceEvent = 0
  for await (const chunk of body) {
    const text = decoder.decode(chunk, { stream: true })
    charactersSinceEvent += text.length
    remainder.push(text)
    // Only a new chunk is searched, so that an event that comes in many pieces costs no more than another one.
    const hasBlankLine = BLANK_LINE.test(tail + text)
    tail = (tail + text).slice(-MAX_SPLIT_BLANK_LINE)
    if (hasBlankLine) {
      const blocks = remainder.splice(0).join('').split(BLANK_LINE)
      const rest = blocks.pop() ?? ''
      remainder.push(rest)
      tail = rest.slice(-MAX_SPLIT_BLANK_LINE)
      for (const event of blocks.map(parseEvent)) {
        if (event.data === '') continue
        charactersSinceEvent = rest.length
        yield event
      }
    }
    if (charactersSinceEvent > MAX_EVENT_CHARACTERS) throw new RangeError('server-sent event is too long')
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
