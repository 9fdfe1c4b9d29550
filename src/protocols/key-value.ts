/**
 * The platform's key-value service, spoken to in the published JSON form of the etcd v3 API
 * (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/): compare-and-swap by transactions on the
 * modification revision, leases and watches.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { createEpochTracker } from './epochs.js'
import type { Epochs } from './epochs.js'
import type { Address } from '../identifiers.js'
import { exchangeJson, send } from './http.js'
import type { Connections, HttpExchange } from './http.js'

/** A stored value with the revision of its last change. */
export interface KeyValueEntry {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** Entries at one moment of the store. */
export interface KeyValueListing {
  readonly entries: readonly KeyValueEntry[]
  /** Revision of the store; a watch from the next one misses nothing. */
  readonly revision: number
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | { kind: 'swapped', revision: number }
  | { kind: 'conflict', current: KeyValueEntry | undefined }

/** One change seen by a watch. */
export type KeyValueChange =
  | { kind: 'put', entry: KeyValueEntry }
  | { kind: 'delete', key: string, revision: number }

/** A lease by the service's number for it. */
export type LeaseId = string

/** Options of a write. */
export interface WriteOptions {
  /** The key vanishes with this lease. */
  readonly lease?: LeaseId
  readonly signal?: AbortSignal
}

/** Expected revision of a key that must not exist. */
export const ABSENT = 0

/**
 * The service as the system uses it. Every method rejects with a ServingError; the verdict
 * `may-have-run` of a write means that its reply was lost and only reading back can settle it.
 */
export interface KeyValue {
  /** Returns of the service from a backup, as far as it tells of them. */
  readonly epochs: Epochs
  get (key: string, signal?: AbortSignal): Promise<KeyValueEntry | undefined>
  list (prefix: string, signal?: AbortSignal, mayBeStale?: boolean): Promise<KeyValueListing>
  put (key: string, value: string, options?: WriteOptions): Promise<void>
  /** Writes only if the key's revision is the expected one, {@link ABSENT} for a key that must not exist. */
  compareAndSwap (key: string, expectedRevision: number, value: string, options?: WriteOptions): Promise<SwapResult>
  /** Deletes only if the key's revision is the expected one. */
  compareAndDelete (key: string, expectedRevision: number, signal?: AbortSignal): Promise<SwapResult>
  grantLease (timeToLive: Milliseconds, signal?: AbortSignal): Promise<LeaseId>
  /** Resolves to the remaining time, 0 when the lease has lapsed. */
  keepAlive (lease: LeaseId, signal?: AbortSignal): Promise<Milliseconds>
  revokeLease (lease: LeaseId, signal?: AbortSignal): Promise<void>
  /**
   * Changes under a prefix from a revision on. An empty list is a sign of progress. Ends by an error
   * when the connection does or when it has been silent for too long.
   *
   * @param silence longest time without a sign; the service's own where it is left out
   */
  watch (prefix: string, fromRevision: number, signal: AbortSignal, silence?: Milliseconds): AsyncIterable<readonly KeyValueChange[]>
}

/** Bound on one call. The service answers in milliseconds; what takes longer counts as lost. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

/**
 * A silent watch is given up and opened anew after this time: a connection that something between
 * the ends has forgotten shows no error, only silence.
 */
const WATCH_SILENCE: Milliseconds = 30 * SECOND

const numberText = z.union([z.string(), z.number()]).transform(Number)
const headerSchema = z.object({ revision: numberText })
const entrySchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: numberText
})
const rangeSchema = z.object({ header: headerSchema, kvs: z.array(entrySchema).default([]) })
const transactionSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: z.object({ kvs: z.array(entrySchema).default([]) }).optional() })).default([])
})
const grantSchema = z.object({ ID: z.union([z.string(), z.number()]).transform(String) })
const keepAliveSchema = z.object({ result: z.object({ TTL: numberText.default(0) }) })
const watchSchema = z.object({
  result: z.object({
    header: headerSchema,
    events: z.array(z.object({
      type: z.enum(['PUT', 'DELETE']).default('PUT'),
      kv: z.object({ key: z.string(), value: z.string().default(''), mod_revision: numberText })
    })).default([])
  })
})
const anySchema = z.unknown()

/**
 * @param addresses the service's addresses; a call goes to the first that accepts the connection
 * @param watchConnections connections for watches. Failure guarded against: something between the ends
 *   has forgotten the pooled connections; a watch that went silent would be opened again on another
 *   of them and stay silent. Connections that serve one exchange each are always new.
 * @example
 * const keyValue = createKeyValue(connections, settings.platform.key_value, createFreshConnections(4))
 */
export function createKeyValue (connections: Connections, addresses: readonly Address[], watchConnections: Connections = connections): KeyValue {
  let preferred = 0

  async function call<T> (path: string, body: unknown, schema: z.ZodType<T>, signal?: AbortSignal): Promise<T> {
    try {
      return await exchangeJson(connections, exchangeOf(path, body, CALL_TIMEOUT, signal), schema)
    } catch (error) {
      preferred += 1
      throw error
    }
  }

  function exchangeOf (path: string, body: unknown, silence: Milliseconds, signal?: AbortSignal): HttpExchange {
    const address = addresses[preferred % addresses.length] as Address
    return { address, method: 'POST', path, body, silence, ...(signal ? { signal } : {}) }
  }

  async function range (body: object, signal?: AbortSignal): Promise<KeyValueListing> {
    const answer = await call('/v3/kv/range', body, rangeSchema, signal)
    return { entries: answer.kvs.map(toEntry), revision: answer.header.revision }
  }

  async function swap (key: string, expectedRevision: number, write: object, signal?: AbortSignal): Promise<SwapResult> {
    const answer = await call('/v3/kv/txn', {
      compare: [{ key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision) }],
      success: [write],
      failure: [{ request_range: { key: encode(key) } }]
    }, transactionSchema, signal)
    if (answer.succeeded) return { kind: 'swapped', revision: answer.header.revision }
    const current = answer.responses[0]?.response_range?.kvs[0]
    return { kind: 'conflict', current: current && toEntry(current) }
  }

  return {
    epochs: createEpochTracker(),
    get: async (key, signal) => (await range({ key: encode(key) }, signal)).entries[0],
    list: (prefix, signal) => range({ key: encode(prefix), range_end: encode(prefixEnd(prefix)) }, signal),
    put: async (key, value, options = {}) => {
      await call('/v3/kv/put', putOf(key, value, options), anySchema, options.signal)
    },
    compareAndSwap: (key, expectedRevision, value, options = {}) =>
      swap(key, expectedRevision, { request_put: putOf(key, value, options) }, options.signal),
    compareAndDelete: (key, expectedRevision, signal) =>
      swap(key, expectedRevision, { request_delete_range: { key: encode(key) } }, signal),
    grantLease: async (timeToLive, signal) => {
      const answer = await call('/v3/lease/grant', { TTL: String(Math.ceil(timeToLive / SECOND)) }, grantSchema, signal)
      return answer.ID
    },
    keepAlive: async (lease, signal) => {
      const answer = await call('/v3/lease/keepalive', { ID: lease }, keepAliveSchema, signal)
      return answer.result.TTL * SECOND
    },
    revokeLease: async (lease, signal) => {
      await call('/v3/lease/revoke', { ID: lease }, anySchema, signal)
    },
    watch: async function * (prefix, fromRevision, signal, silence = WATCH_SILENCE) {
      const create = { key: encode(prefix), range_end: encode(prefixEnd(prefix)), start_revision: String(fromRevision), progress_notify: true }
      const response = await send(watchConnections, exchangeOf('/v3/watch', { create_request: create }, silence, signal))
      for await (const line of linesOf(response.body)) {
        yield watchSchema.parse(JSON.parse(line)).result.events.map(toChange)
      }
    }
  }
}

/**
 * First key after all keys with a prefix.
 *
 * @example
 * prefixEnd('nodes/') // 'nodes0'
 */
export function prefixEnd (prefix: string): string {
  const last = prefix.length - 1
  return prefix.slice(0, last) + String.fromCharCode(prefix.charCodeAt(last) + 1)
}

function putOf (key: string, value: string, options: WriteOptions): object {
  return { key: encode(key), value: encode(value), ...(options.lease ? { lease: options.lease } : {}) }
}

function toEntry (entry: z.infer<typeof entrySchema>): KeyValueEntry {
  return { key: decode(entry.key), value: decode(entry.value), revision: entry.mod_revision }
}

function toChange (event: z.infer<typeof watchSchema>['result']['events'][number]): KeyValueChange {
  if (event.type === 'DELETE') return { kind: 'delete', key: decode(event.kv.key), revision: event.kv.mod_revision }
  return { kind: 'put', entry: toEntry(event.kv) }
}

async function * linesOf (body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const decoder = new TextDecoder()
  let rest = ''
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split('\n')
    rest = lines.pop() ?? ''
    yield * lines.filter((line) => line.length > 0)
  }
}

function encode (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

function decode (text: string): string {
  return Buffer.from(text, 'base64').toString('utf8')
}
