/**
 * Interface of the key-value service, and a client in the JSON form of the etcd v3 API
 * (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/). Compare-and-swap is a transaction with a condition on the
 * modification revision.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { createEpochTracker } from './epochs.js'
import type { Epochs } from './epochs.js'
import type { Address } from '../identifiers.js'
import { usableItems } from '../json.js'
import { exchangeJson, send } from './http.js'
import type { Connections, HttpExchange } from './http.js'

/** A stored value with the revision of its last change. */
export interface KeyValueEntry {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** Entries under a prefix at one revision of the store. */
export interface KeyValueListing {
  readonly entries: readonly KeyValueEntry[]
  /** Revision of the store at the time of the read. A watch from the next revision misses no change. */
  readonly revision: number
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | { kind: 'swapped', revision: number }
  | { kind: 'conflict', current: KeyValueEntry | undefined }

/** One of several writes that are carried out together or not at all. */
export interface KeySwap {
  readonly key: string
  /** {@link ABSENT} for a key that must not exist. */
  readonly expectedRevision: number
  readonly value: string
}

/** Result of several compare-and-swaps in one transaction. */
export type SwapAllResult =
  | { readonly kind: 'swapped', readonly revision: number }
  /** Nothing was written. `current` has the entries of all keys, in the order of the swaps. */
  | { readonly kind: 'conflict', readonly current: readonly (KeyValueEntry | undefined)[] }

/** One change reported by a watch. */
export type KeyValueChange =
  | { kind: 'put', entry: KeyValueEntry }
  | { kind: 'delete', key: string, revision: number }

/** Id that the service gave a lease. */
export type LeaseId = string

/** Options of a write. */
export interface WriteOptions {
  /** The service deletes the key when this lease ends. */
  readonly lease?: LeaseId
  readonly signal?: AbortSignal
}

/** Expected revision for a key that must not exist. */
export const ABSENT = 0

/**
 * The key-value service. Every method rejects with a ServingError. If a write rejects with the verdict `may-have-run`, its
 * reply was lost, and only a read can find out whether the write was carried out.
 */
export interface KeyValue {
  /** Epochs of the service, which change when the service is restored from a backup. No epoch is known if the service reports none. */
  readonly epochs: Epochs
  get (key: string, signal?: AbortSignal): Promise<KeyValueEntry | undefined>
  /** @param mayBeStale the service may answer with an older state, if it supports that */
  list (prefix: string, signal?: AbortSignal, mayBeStale?: boolean): Promise<KeyValueListing>
  put (key: string, value: string, options?: WriteOptions): Promise<void>
  /** Writes only if the key has the expected revision, which is {@link ABSENT} for a key that must not exist. */
  compareAndSwap (key: string, expectedRevision: number, value: string, options?: WriteOptions): Promise<SwapResult>
  /** Deletes only if the key has the expected revision. */
  compareAndDelete (key: string, expectedRevision: number, signal?: AbortSignal): Promise<SwapResult>
  grantLease (timeToLive: Milliseconds, signal?: AbortSignal): Promise<LeaseId>
  /** Renews a lease. Resolves to its remaining time, or to 0 if the lease has expired. */
  keepAlive (lease: LeaseId, signal?: AbortSignal): Promise<Milliseconds>
  revokeLease (lease: LeaseId, signal?: AbortSignal): Promise<void>
  /**
   * Yields the changes under a prefix from a revision on. An empty list means that the watch is alive without a change.
   * Throws when the connection is lost or has been idle for too long.
   *
   * @param idleTimeout maximum time without a message. The client's own default if omitted
   */
  watch (prefix: string, fromRevision: number, signal: AbortSignal, idleTimeout?: Milliseconds): AsyncIterable<readonly KeyValueChange[]>
}

/** A key-value service with transactions over several keys. */
export interface TransactionalKeyValue extends KeyValue {
  /** Writes all values if all keys have their expected revisions, and none otherwise. */
  compareAndSwapAll (swaps: readonly KeySwap[], signal?: AbortSignal): Promise<SwapAllResult>
}

/** Timeout of one call. The service answers within milliseconds, so a slower answer is considered lost. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

/**
 * Time without a message after which a watch fails, so that the caller opens a new one. If the network has dropped the state
 * of a connection, neither end gets an error.
 */
const WATCH_IDLE_TIMEOUT: Milliseconds = 30 * SECOND

/** The service writes 64-bit numbers as strings. */
const numberSchema = z.union([z.string().regex(/^\d+$/), z.number()]).transform(Number).pipe(z.number().int().nonnegative())
const headerSchema = z.object({ revision: numberSchema })
const entrySchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: numberSchema
})
const eventSchema = z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: entrySchema })
const rangeSchema = z.object({ header: headerSchema, kvs: usableItems(entrySchema).default([]) })
const transactionSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: z.object({ kvs: usableItems(entrySchema).default([]) }).optional() })).default([])
})
const grantSchema = z.object({ ID: z.union([z.string(), z.number()]).transform(String) })
const keepAliveSchema = z.object({ result: z.object({ TTL: numberSchema.default(0) }) })
const watchSchema = z.object({
  result: z.object({
    header: headerSchema,
    events: usableItems(eventSchema).default([])
  })
})
const anySchema = z.unknown()

/**
 * Creates a client of the service.
 *
 * @param addresses of the service. All calls go to one address until a call fails. Later calls go to the next address
 * @param watchConnections connections for watches. Failure guarded against: the network has dropped the state of the pooled
 *   connections. A watch that went idle would be reopened on another such connection and receive nothing again.
 *   Connections that serve a single exchange are always new.
 * @example
 * const keyValue = createKeyValue(connections, settings.platform.key_value, createFreshConnections(4))
 */
export function createKeyValue (connections: Connections, addresses: readonly Address[], watchConnections: Connections = connections): TransactionalKeyValue {
  let addressIndex = 0

  async function call<T> (path: string, body: unknown, schema: z.ZodType<T>, signal?: AbortSignal): Promise<T> {
    try {
      return await exchangeJson(connections, createExchange(path, body, CALL_TIMEOUT, signal), schema)
    } catch (error) {
      addressIndex += 1
      throw error
    }
  }

  function createExchange (path: string, body: unknown, idleTimeout: Milliseconds, signal?: AbortSignal): HttpExchange {
    const address = addresses[addressIndex % addresses.length] as Address
    return { address, method: 'POST', path, body, idleTimeout, ...(signal ? { signal } : {}) }
  }

  async function range (body: object, signal?: AbortSignal): Promise<KeyValueListing> {
    const answer = await call('/v3/kv/range', body, rangeSchema, signal)
    return { entries: answer.kvs.map(toEntry), revision: answer.header.revision }
  }

  async function transact (conditions: readonly Pick<KeySwap, 'key' | 'expectedRevision'>[], writes: readonly object[], signal?: AbortSignal): Promise<SwapAllResult> {
    const answer = await call('/v3/kv/txn', {
      compare: conditions.map(({ key, expectedRevision }) => ({ key: encode(key), target: 'MOD', result: 'EQUAL', mod_revision: String(expectedRevision) })),
      success: writes,
      failure: conditions.map(({ key }) => ({ request_range: { key: encode(key) } }))
    }, transactionSchema, signal)
    if (answer.succeeded) return { kind: 'swapped', revision: answer.header.revision }
    const found = conditions.map((_condition, index) => answer.responses[index]?.response_range?.kvs[0])
    return { kind: 'conflict', current: found.map((entry) => entry && toEntry(entry)) }
  }

  async function swap (key: string, expectedRevision: number, write: object, signal?: AbortSignal): Promise<SwapResult> {
    const result = await transact([{ key, expectedRevision }], [write], signal)
    return result.kind === 'swapped' ? result : { kind: 'conflict', current: result.current[0] }
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
    compareAndSwapAll: (swaps, signal) => transact(swaps, swaps.map(({ key, value }) => ({ request_put: putOf(key, value, {}) })), signal),
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
    watch: async function * (prefix, fromRevision, signal, idleTimeout = WATCH_IDLE_TIMEOUT) {
      const create = { key: encode(prefix), range_end: encode(prefixEnd(prefix)), start_revision: String(fromRevision), progress_notify: true }
      const response = await send(watchConnections, createExchange('/v3/watch', { create_request: create }, idleTimeout, signal))
      for await (const line of linesOf(response.body)) {
        yield watchSchema.parse(JSON.parse(line)).result.events.map(toChange)
      }
    }
  }
}

/**
 * First key after all keys that start with a prefix, for use as the end of a range.
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
  let remainder = ''
  for await (const chunk of body) {
    const lines = (remainder + decoder.decode(chunk, { stream: true })).split('\n')
    remainder = lines.pop() ?? ''
    yield * lines.filter((line) => line.length > 0)
  }
}

function encode (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

function decode (text: string): string {
  return Buffer.from(text, 'base64').toString('utf8')
}
