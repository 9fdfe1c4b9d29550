/**
 * The callers' module: asks for addresses, keeps them for their time, mints request ids at a home,
 * sends again and resumes with the same id.
 */
import { randomBytes } from 'node:crypto'
import { z } from 'zod'
import type { Clock, Milliseconds } from '../clock.js'
import { createSystemClock, SECOND } from '../clock.js'
import { requestIdFor } from '../identifiers.js'
import type { Address, RequestId } from '../identifiers.js'
import { addressAnswerSchema } from '../membership/index.js'
import type { AddressAnswer } from '../membership/index.js'
import { connectionFailure, createConnections, exchangeJson, readBody, send } from '../platform/http.js'
import type { HttpResponse } from '../platform/http.js'
import { readEvents } from '../platform/server-sent-events.js'
import type { ChatMessage } from '../request/index.js'
import type { Usage } from '../upstream/index.js'
import { usageSchema } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import type { FailureCode, Verdict } from '../verdict.js'

/** Whom a client asks first, and as whom. */
export interface ClientOptions {
  /** Any addresses of entry nodes; one that answers is enough. */
  readonly addresses: readonly Address[]
  /** The organisation's bearer key. */
  readonly key: string
  readonly clock?: Clock
}

/** A question. */
export interface ChatCall {
  /** Class of work. */
  readonly class: string
  readonly messages: readonly ChatMessage[]
  readonly maxTokens?: number
  /** Called for each token as it arrives. */
  readonly onToken?: (text: string, offset: number) => void
  readonly signal?: AbortSignal
}

/** A whole answer. */
export interface ChatAnswer {
  readonly id: RequestId
  readonly text: string
  readonly tokens: number
  readonly usage: Usage
}

/** A caller's connection to the system. */
export interface Client {
  /** Resolves to the whole answer, or rejects with a ServingError and its verdict. */
  chat (call: ChatCall): Promise<ChatAnswer>
  /** Addresses in use now. */
  addresses (): Promise<AddressAnswer>
  close (): Promise<void>
}

const SILENCE: Milliseconds = 30 * SECOND
const CONNECTIONS = 64

const chunkSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
    finish_reason: z.string().nullable()
  })),
  usage: usageSchema.optional()
})

const failureSchema = z.object({
  error: z.object({
    message: z.string(),
    type: z.string(),
    verdict: z.enum(['not-run', 'may-have-run', 'ran']),
    retry_after_ms: z.number().optional()
  })
})

/**
 * @example
 * const client = createClient({ addresses: ['127.0.0.1:8080'], key })
 * const answer = await client.chat({ class: 'short-question', messages: [{ role: 'user', content: 'Which resin?' }] })
 */
export function createClient (options: ClientOptions): Client {
  const clock = options.clock ?? createSystemClock()
  const connections = createConnections(CONNECTIONS)
  const authorization = { authorization: `Bearer ${options.key}` }
  let kept: { answer: AddressAnswer, until: Milliseconds } | undefined

  async function ask (): Promise<AddressAnswer> {
    let failure: unknown
    const known = kept?.answer.nodes.map((node) => node.address) ?? []
    for (const address of [...known, ...options.addresses]) {
      try {
        return await exchangeJson(connections, { address, method: 'GET', path: '/v1/addresses', headers: authorization, silence: SILENCE }, addressAnswerSchema)
      } catch (error) {
        failure = error
      }
    }
    throw failure
  }

  async function addresses (): Promise<AddressAnswer> {
    if (kept !== undefined && clock.now() < kept.until) return kept.answer
    const answer = await ask()
    kept = { answer, until: clock.now() + answer.lifetime_ms }
    return answer
  }

  return {
    addresses,
    chat: async (call) => {
      const node = pick((await addresses()).nodes)
      const id = requestIdFor(node.incarnation, randomBytes(16).toString('base64url'))
      const response = await send(connections, {
        address: node.address,
        method: 'POST',
        path: '/v1/chat/completions',
        headers: { ...authorization, 'hornbeamgap-request-id': id },
        body: { model: call.class, messages: call.messages, stream: true, ...(call.maxTokens ? { max_tokens: call.maxTokens } : {}) },
        silence: SILENCE,
        ...(call.signal ? { signal: call.signal } : {})
      })
      if (response.statusCode !== 200) throw failureOf(await readBody(response, node.address))
      return readAnswer(id, response, node.address, call)
    },
    close: () => connections.destroy()
  }
}

async function readAnswer (id: RequestId, response: HttpResponse, address: Address, call: ChatCall): Promise<ChatAnswer> {
  const texts: string[] = []
  let usage: Usage | undefined
  try {
    for await (const event of readEvents(response.body)) {
      if (event.data === '[DONE]' && usage !== undefined) return { id, text: texts.join(''), tokens: texts.length, usage }
      const data: unknown = JSON.parse(event.data)
      if (failureSchema.safeParse(data).success) throw failureOf(event.data)
      const chunk = chunkSchema.parse(data)
      usage = chunk.usage ?? usage
      const content = chunk.choices[0]?.delta.content
      if (content === undefined) continue
      call.onToken?.(content, texts.length)
      texts.push(content)
    }
  } catch (error) {
    throw connectionFailure(error, address)
  } finally {
    response.body.destroy()
  }
  throw new ServingError('the answer ended without its final mark', { code: 'connection-lost', verdict: 'may-have-run' })
}

function failureOf (text: string): ServingError {
  const parsed = failureSchema.safeParse(parseJson(text))
  if (!parsed.success) return new ServingError(text.slice(0, 200), { code: 'internal', verdict: 'may-have-run' })
  const { message, type, verdict, retry_after_ms: retryAfter } = parsed.data.error
  return new ServingError(message, { code: type as FailureCode, verdict: verdict as Verdict, ...(retryAfter === undefined ? {} : { retryAfter }) })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function pick<T> (items: readonly T[]): T {
  const item = items[Math.floor(Math.random() * items.length)]
  if (item === undefined) throw new ServingError('no entry node is known', { code: 'no-upstream', verdict: 'not-run' })
  return item
}
