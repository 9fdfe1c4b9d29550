/** Serves the key-value stand-in over HTTP with the API of the users' metadata store. */
import { HEADER, STORE_PATH } from '../../platform/names.js'
import type { Clock } from '../../src/clock.js'
import { parseJson } from '../../src/json.js'
import { ABSENT } from '../../src/protocols/key-value.js'
import type { KeyValueChange, KeyValueEntry } from '../../src/protocols/key-value.js'
import type { Random } from '../../src/random.js'
import { createFaultSwitch } from '../faults.js'
import type { FaultSwitch } from '../faults.js'
import { serveStandIn, StandInFailure } from '../http-server.js'
import type { StandInCall, StandInServer } from '../http-server.js'
import { createKeyValueStore } from '../key-value-store.js'
import type { KeyValueStore } from '../key-value-store.js'

/** A running stand-in of the metadata store. */
export interface MetadataStoreStandIn extends StandInServer {
  readonly store: KeyValueStore
  readonly faultSwitch: FaultSwitch
}

/** Maximum items in one page of a range. */
const PAGE_SIZE = 500

/** Appended to a prefix, sorts after every key with that prefix. */
const RANGE_END_SUFFIX = '\uffff'

/**
 * Starts an empty metadata store on a free port.
 *
 * @example
 * const store = await serveMetadataStore(clock, random)
 */
export async function serveMetadataStore (clock: Clock, random: Random): Promise<MetadataStoreStandIn> {
  const store = createKeyValueStore(clock)
  const faultSwitch = createFaultSwitch(clock, random)
  const server = await serveStandIn(0, clock, faultSwitch, (call) => handle(store, clock, call))
  return { ...server, store, faultSwitch }
}

function handle (store: KeyValueStore, clock: Clock, call: StandInCall): unknown {
  const { path, query, method, response } = call
  response.setHeader(HEADER.storeEpoch, store.epoch())
  switch (path) {
    case STORE_PATH.key: return getKey(store, query.get('key') ?? '')
    case STORE_PATH.range: return getRange(store, query)
    case STORE_PATH.watch: return watch(store, clock, call)
    case STORE_PATH.transaction: return transact(store, parseJson(call.body.toString('utf8')) as Transaction)
    case STORE_PATH.lease: return grantLease(store, parseJson(call.body.toString('utf8')) as { ttlMs: number })
  }
  if (path.startsWith(STORE_PATH.renewLease) && method === 'POST') return renewLease(store, path.slice(STORE_PATH.renewLease.length))
  if (path.startsWith(STORE_PATH.revokeLease) && method === 'DELETE') {
    store.revokeLease(path.slice(STORE_PATH.revokeLease.length))
    return {}
  }
  throw new StandInFailure(404, { error: 'no such call' })
}

interface Transaction {
  readonly expectedRevision: readonly { key: string, revision: number }[]
  readonly writes: readonly { key: string, value: string, lease: number }[]
  readonly remove: readonly string[]
}

function getKey (store: KeyValueStore, key: string): object {
  const entry = store.get(key)
  if (entry === undefined) throw new StandInFailure(404, { asOf: store.revision() })
  return { ...toItem(entry), asOf: store.revision() }
}

function getRange (store: KeyValueStore, query: URLSearchParams): object {
  const prefix = query.get('prefix') ?? ''
  const after = query.get('after') ?? ''
  const { entries, revision } = store.list(prefix, prefix + RANGE_END_SUFFIX)
  const remaining = entries.filter((entry) => entry.key > after)
  return { items: remaining.slice(0, PAGE_SIZE).map(toItem), morePages: remaining.length > PAGE_SIZE, asOf: revision }
}

/** Long poll: answers as soon as there is a change after the revision, or without changes once `waitMs` has passed. */
function watch (store: KeyValueStore, clock: Clock, { query, response }: StandInCall): Promise<object> {
  const after = Number(query.get('after'))
  if (after > store.revision()) throw new StandInFailure(410, { error: 'no such revision' })
  const prefix = query.get('prefix') ?? ''
  return new Promise((resolve) => {
    const finished = new AbortController()
    const answer = (changes: readonly KeyValueChange[]): void => {
      if (finished.signal.aborted) return
      finished.abort()
      setImmediate(() => unsubscribe())
      response.setHeader(HEADER.storeEpoch, store.epoch())
      resolve({ events: changes.map(toEvent), asOf: store.revision() })
    }
    const disconnect = (): void => {
      finished.abort()
      response.destroy()
    }
    const unsubscribe = store.subscribe(prefix, prefix + RANGE_END_SUFFIX, after + 1, (changes) => { if (changes.length > 0) answer(changes) }, disconnect)
    clock.sleep(Number(query.get('waitMs')), finished.signal).then(() => answer([]), () => {})
  })
}

/** Supports transactions on a single key only; the product uses no others. */
function transact (store: KeyValueStore, { expectedRevision, writes, remove }: Transaction): object {
  const [condition] = expectedRevision
  const [write] = writes
  const key = condition?.key ?? write?.key ?? remove[0] ?? ''
  const value = write === undefined ? undefined : Buffer.from(write.value, 'base64').toString('utf8')
  const lease = write === undefined || write.lease === 0 ? undefined : String(write.lease)
  if (lease !== undefined && store.keepAlive(lease) === 0) throw new StandInFailure(404, { error: 'no such lease' })
  if (condition === undefined && value !== undefined) return { revision: store.put(key, value, lease) }
  const expected = condition?.revision ?? store.get(key)?.revision ?? ABSENT
  const result = value === undefined ? store.compareAndDelete(key, expected) : store.compareAndSwap(key, expected, value, lease)
  if (result.kind === 'swapped') return { revision: result.revision }
  throw new StandInFailure(412, { items: [result.current === undefined ? { key, value: '', revision: 0 } : toItem(result.current)] })
}

function grantLease (store: KeyValueStore, { ttlMs }: { ttlMs: number }): object {
  return { lease: Number(store.grantLease(ttlMs)), ttlMs }
}

function renewLease (store: KeyValueStore, lease: string): object {
  const remaining = store.keepAlive(lease)
  if (remaining === 0) throw new StandInFailure(404, { error: 'no such lease' })
  return { ttlMs: remaining }
}

function toItem (entry: KeyValueEntry): object {
  return { key: entry.key, value: Buffer.from(entry.value, 'utf8').toString('base64'), revision: entry.revision, created: entry.revision, lease: 0 }
}

function toEvent (change: KeyValueChange): object {
  return change.kind === 'put' ? toItem(change.entry) : { key: change.key, revision: change.revision, deleted: true }
}
