/** Sends the requests of a sample through the client, as its organisations' callers would, and records the outcomes. */
import { createClient } from '../src/client/index.js'
import type { Client } from '../src/client/index.js'
import type { Clock } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import type { Address, ClassName, OrganisationName } from '../src/identifiers.js'
import type { Random } from '../src/random.js'
import { toServingError } from '../src/verdict.js'
import type { FailureCode, Verdict } from '../src/verdict.js'
import { answerWords } from './engine.js'
import type { Sample, SampleRequest } from './sample.js'

/** Outcome of a request as its caller saw it. */
export type CallerOutcome =
  | { kind: 'answered', tokens: number }
  /** The answer is incomplete or does not belong to the request. */
  | { kind: 'wrong', detail: string }
  | { kind: 'failed', code: FailureCode, verdict: Verdict, message: string }

/** A request and its outcome. */
export interface CallerRecord {
  readonly request: SampleRequest
  readonly outcome: CallerOutcome
}

/** Options of {@link sendRequests}. */
export interface SendingOptions {
  readonly sample: Sample
  readonly addresses: readonly Address[]
  readonly clock: Clock
  readonly random: Random
  /** Requests started per second. */
  readonly rate: number
  /** Called before each request with the number of requests sent so far. */
  readonly onSend?: (sent: number) => void
}

/**
 * Sends all requests of a sample in random order at a constant rate and waits until all have ended.
 *
 * @example
 * const records = await sendRequests({ sample, addresses, clock, random, rate: 40 })
 */
export async function sendRequests (options: SendingOptions): Promise<CallerRecord[]> {
  const { sample, addresses, clock, random } = options
  const clients = new Map(sample.organisations.map(({ name, key }) => [name, createClient({ addresses, key, clock, random })]))
  try {
    const pending: Promise<CallerRecord>[] = []
    for (const request of shuffled(sample.requests, random)) {
      options.onSend?.(pending.length)
      pending.push(sendRequest(clients.get(request.organisation), request))
      await clock.sleep(SECOND / options.rate)
    }
    return await Promise.all(pending)
  } finally {
    await Promise.all([...clients.values()].map((client) => client.close()))
  }
}

/**
 * Groups records by class and organisation, in order of their names.
 *
 * @example
 * for (const group of groupRecords(records)) print(group.class, group.records.length)
 */
export function groupRecords (records: readonly CallerRecord[]): { class: ClassName, organisation: OrganisationName, records: CallerRecord[] }[] {
  const groups = new Map<string, { class: ClassName, organisation: OrganisationName, records: CallerRecord[] }>()
  for (const record of records) {
    const { class: requestClass, organisation } = record.request
    const name = `${requestClass}/${organisation}`
    const group = groups.get(name) ?? { class: requestClass, organisation, records: [] }
    groups.set(name, group)
    group.records.push(record)
  }
  return [...groups.entries()].sort(([left], [right]) => left < right ? -1 : 1).map(([, group]) => group)
}

async function sendRequest (client: Client | undefined, request: SampleRequest): Promise<CallerRecord> {
  if (client === undefined) throw new Error(`the sample has no key for organisation ${request.organisation}`)
  try {
    return { request, outcome: 'messages' in request ? await sendChat(client, request) : await sendPlainCall(client, request) }
  } catch (error) {
    const { code, verdict, message } = toServingError(error, 'may-have-run')
    return { request, outcome: { kind: 'failed', code, verdict, message } }
  }
}

async function sendChat (client: Client, request: Extract<SampleRequest, { messages: unknown }>): Promise<CallerOutcome> {
  const answer = await client.chat({ class: request.class, messages: request.messages, maxTokens: request.max_tokens })
  if (answer.text === answerWords(request.messages, request.max_tokens).join('')) return { kind: 'answered', tokens: answer.tokens }
  return { kind: 'wrong', detail: `${answer.tokens} tokens of ${request.max_tokens}` }
}

async function sendPlainCall (client: Client, request: Extract<SampleRequest, { call: unknown }>): Promise<CallerOutcome> {
  const { method, path, body } = request.call
  const answer = await client.call({
    class: request.class,
    method,
    path,
    ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
  })
  if (answer.status === 200) return { kind: 'answered', tokens: 0 }
  return { kind: 'wrong', detail: `status ${answer.status}` }
}

function shuffled<T> (items: readonly T[], random: Random): T[] {
  const result = [...items]
  for (let last = result.length - 1; last > 0; last -= 1) {
    const other = random.integer(last + 1)
    const swapped = result[last] as T
    result[last] = result[other] as T
    result[other] = swapped
  }
  return result
}
