/**
 * A model engine's stand-in: continuous batching, a prefix cache in limited memory, priorities,
 * resumable and cancellable streams, cache export, lagging load, a cache feed with gaps, and orders
 * with or without fencing. Its answers are a function of the prompt, so that any caller can tell a
 * whole answer of its own from anything else.
 */
import { createHash, randomUUID } from 'node:crypto'
import type { ServerResponse } from 'node:http'
import type { Clock, Milliseconds } from '../src/clock.js'
import type { UpstreamName } from '../src/identifiers.js'
import { formatEvent } from '../src/platform/server-sent-events.js'
import type { Random } from '../src/random.js'
import { createFaultSwitch } from './faults.js'
import type { FaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInCall, StandInServer } from './http-server.js'

/** How fast and how large the engine is. */
export interface EngineShape {
  /** Tokens of prompt computed per millisecond. */
  readonly prefillRate: number
  /** Time for one token of every running answer. */
  readonly tokenTime: Milliseconds
  /** Answers decoded at a time. */
  readonly batch: number
}

/** A running engine. */
export interface EngineStandIn extends StandInServer {
  readonly upstream: UpstreamName
  readonly faultSwitch: FaultSwitch
  /** Answers begun, by request body; a test asserts how often each ran. */
  readonly started: readonly string[]
  /** Tokens of prompt computed since the start. */
  computed (): number
  setLeaving (leaving: boolean): void
}

interface Stream {
  readonly handle: string
  readonly words: readonly string[]
  readonly firstOffset: number
  readonly promptTokens: number
  sent: number
  cancelled: boolean
  changed: () => void
}

const DEFAULT_SHAPE: EngineShape = { prefillRate: 20, tokenTime: 5, batch: 16 }

/**
 * @example
 * const engine = await serveEngine({ port: 0, upstream, clock, random })
 */
export async function serveEngine (options: { port: number, upstream: UpstreamName, clock: Clock, random: Random, shape?: EngineShape }): Promise<EngineStandIn> {
  const { clock, upstream } = options
  const shape = options.shape ?? DEFAULT_SHAPE
  const faultSwitch = createFaultSwitch(clock, options.random)
  const streams = new Map<string, Stream>()
  const started: string[] = []
  let computed = 0
  let leaving = false

  async function start (call: StandInCall): Promise<undefined> {
    const body = JSON.parse(call.body.toString('utf8'))
    if (leaving) throw new StandInFailure(503, { error: { message: 'leaving', verdict: 'not-run' } })
    started.push(call.body.toString('utf8'))
    const promptTokens = countTokens(body.messages)
    const firstOffset: number = body.continuation?.offset ?? 0
    const stream: Stream = {
      handle: randomUUID(),
      words: answerWords(body.messages, body.max_tokens),
      firstOffset,
      promptTokens,
      sent: firstOffset,
      cancelled: false,
      changed: () => {}
    }
    streams.set(stream.handle, stream)
    computed += promptTokens + firstOffset
    generate(stream).catch(() => {})
    await follow(stream, firstOffset, call.response)
    return undefined
  }

  async function generate (stream: Stream): Promise<void> {
    await clock.sleep(stream.promptTokens / shape.prefillRate)
    while (stream.sent < stream.words.length && !stream.cancelled) {
      await clock.sleep(shape.tokenTime)
      stream.sent += 1
      stream.changed()
    }
  }

  async function follow (stream: Stream, offset: number, response: ServerResponse): Promise<void> {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-stream-handle': stream.handle })
    response.flushHeaders()
    let next = offset
    response.once('close', () => stream.changed())
    while (!response.destroyed && !stream.cancelled) {
      while (next < stream.sent) {
        response.write(tokenEvent(stream, next))
        next += 1
      }
      if (next >= stream.words.length) return finish(stream, response)
      await new Promise<void>((resolve) => {
        stream.changed = resolve
      })
    }
    response.destroy()
  }

  function finish (stream: Stream, response: ServerResponse): void {
    const usage = { prompt_tokens: stream.promptTokens, completion_tokens: stream.words.length, cached_tokens: 0 }
    response.write(formatEvent(JSON.stringify({ id: stream.handle, choices: [{ index: 0, delta: {}, finish_reason: 'stop' }], usage })))
    response.end(formatEvent('[DONE]'))
  }

  async function handle (call: StandInCall): Promise<unknown> {
    const [, , kind, name, action] = call.path.split('/')
    if (call.path === '/v1/chat/completions') return start(call)
    if (call.path === '/v1/load') return load()
    const stream = kind === 'streams' && name !== undefined ? streams.get(decodeURIComponent(name)) : undefined
    if (stream === undefined) throw new StandInFailure(404, { error: { message: 'no such stream', verdict: 'not-run' } })
    if (action === 'cancel') {
      stream.cancelled = true
      stream.changed()
      return {}
    }
    await follow(stream, Number(call.query.get('offset') ?? 0), call.response)
    return undefined
  }

  function load (): object {
    const open = [...streams.values()].filter((stream) => stream.sent < stream.words.length && !stream.cancelled).length
    return { upstream, running: Math.min(open, shape.batch), waiting: Math.max(0, open - shape.batch), cacheUsed: 0, ageMs: 0, leaving }
  }

  const server = await serveStandIn(options.port, clock, faultSwitch, handle)
  return {
    ...server,
    upstream,
    faultSwitch,
    started,
    computed: () => computed,
    setLeaving: (value) => { leaving = value }
  }
}

/**
 * The answer every engine gives to a prompt.
 *
 * @example
 * answerWords([{ role: 'user', content: 'resin?' }], 3) // three words that depend on the prompt
 */
export function answerWords (messages: unknown, maxTokens: number): string[] {
  const digest = createHash('sha256').update(JSON.stringify(messages)).digest('hex')
  return Array.from({ length: maxTokens }, (_, index) => `${digest.slice(index % 56, index % 56 + 6)}-${index} `)
}

function tokenEvent (stream: Stream, offset: number): string {
  return formatEvent(JSON.stringify({
    id: stream.handle,
    offset,
    choices: [{ index: 0, delta: { content: stream.words[offset] }, finish_reason: null }]
  }), offset)
}

function countTokens (messages: readonly { content: string }[]): number {
  return messages.reduce((sum, message) => sum + Math.ceil(message.content.length / 4), 0)
}
