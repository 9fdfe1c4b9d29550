/** HTTP server of the key-value stand-in. It speaks the JSON form of the etcd v3 API. */
import type { Clock } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import type { KeySwap, KeyValueChange, KeyValueEntry, SwapAllResult } from '../src/protocols/key-value.js'
import type { Random } from '../src/random.js'
import { createFaultSwitch } from './faults.js'
import type { FaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInCall, StandInServer } from './http-server.js'
import { createKeyValueStore } from './key-value-store.js'
import type { KeyValueStore } from './key-value-store.js'

/** A running key-value stand-in. */
export interface KeyValueStandIn extends StandInServer {
  readonly store: KeyValueStore
  readonly faultSwitch: FaultSwitch
}

/** Interval of the removal of expired leases, in milliseconds. */
const EXPIRY_PERIOD = SECOND / 4

/**
 * Starts a key-value stand-in with an empty store.
 *
 * @param options.port 0 for any free port
 * @example
 * const keyValue = await serveKeyValue({ port: 0, clock, random })
 */
export async function serveKeyValue (options: { port: number, clock: Clock, random: Random }): Promise<KeyValueStandIn> {
  const store = createKeyValueStore(options.clock)
  const faultSwitch = createFaultSwitch(options.clock, options.random)
  const server = await serveStandIn(options.port, options.clock, faultSwitch, (call) => handle(store, call))
  const expiry = setInterval(() => store.expire(), EXPIRY_PERIOD)
  expiry.unref()
  return {
    ...server,
    store,
    faultSwitch,
    kill: () => {
      clearInterval(expiry)
      return server.kill()
    }
  }
}

function handle (store: KeyValueStore, call: StandInCall): unknown {
  const body = parse(call.body)
  switch (call.path) {
    case '/v3/kv/range': return range(store, body)
    case '/v3/kv/put': return put(store, body)
    case '/v3/kv/txn': return transaction(store, body)
    case '/v3/lease/grant': return { ID: store.grantLease(Number(body.TTL) * SECOND), TTL: body.TTL }
    case '/v3/lease/keepalive': return { result: { ID: body.ID, TTL: String(store.keepAlive(String(body.ID)) / SECOND) } }
    case '/v3/lease/revoke': return revoke(store, body)
    case '/v3/watch': return watch(store, body, call)
    default: throw new StandInFailure(404, { error: { message: 'no such call', verdict: 'not-run' } })
  }
}

type Body = Record<string, any>

function range (store: KeyValueStore, body: Body): object {
  const listing = store.list(decode(body.key), decode(body.range_end ?? ''))
  return { header: header(listing.revision), kvs: listing.entries.map(toWire), count: String(listing.entries.length) }
}

function put (store: KeyValueStore, body: Body): object {
  return { header: header(store.put(decode(body.key), decode(body.value), body.lease)) }
}

/** Transactions of one conditional write or deletion, or of several conditional writes. */
function transaction (store: KeyValueStore, body: Body): object {
  const conditions = body.compare.map((compare: Body) => ({ key: decode(compare.key), expectedRevision: Number(compare.mod_revision) }))
  const result = conditions.length > 1 ? swapAll(store, conditions, body) : swapOne(store, conditions[0], body.success[0].request_put)
  if (result.kind === 'swapped') return { header: header(result.revision), succeeded: true }
  return { header: header(store.revision()), succeeded: false, responses: result.current.map((entry) => ({ response_range: { kvs: entry === undefined ? [] : [toWire(entry)] } })) }
}

type Condition = Pick<KeySwap, 'key' | 'expectedRevision'>

function swapAll (store: KeyValueStore, conditions: readonly Condition[], body: Body): SwapAllResult {
  return store.compareAndSwapAll(conditions.map((condition, index) => ({ ...condition, value: decode(body.success[index].request_put.value) })))
}

function swapOne (store: KeyValueStore, { key, expectedRevision }: Condition, write: Body | undefined): SwapAllResult {
  const result = write === undefined ? store.compareAndDelete(key, expectedRevision) : store.compareAndSwap(key, expectedRevision, decode(write.value), write.lease)
  return result.kind === 'swapped' ? result : { kind: 'conflict', current: [result.current] }
}

function revoke (store: KeyValueStore, body: Body): object {
  store.revokeLease(String(body.ID))
  return { header: header(store.revision()) }
}

function watch (store: KeyValueStore, body: Body, call: StandInCall): undefined {
  const create = body.create_request
  const send = (changes: readonly KeyValueChange[]): void => {
    const result = { header: header(store.revision()), events: changes.map(toEvent) }
    call.response.write(JSON.stringify({ result }) + '\n')
  }
  call.response.writeHead(200, { 'content-type': 'application/json' })
  send([])
  const unsubscribe = store.subscribe(decode(create.key), decode(create.range_end ?? ''), Number(create.start_revision), send)
  const progress = setInterval(() => send([]), 5 * SECOND)
  call.response.once('close', () => {
    clearInterval(progress)
    unsubscribe()
  })
  return undefined
}

function toEvent (change: KeyValueChange): object {
  if (change.kind === 'put') return { type: 'PUT', kv: toWire(change.entry) }
  return { type: 'DELETE', kv: { key: encode(change.key), mod_revision: String(change.revision) } }
}

function toWire (entry: KeyValueEntry): object {
  return { key: encode(entry.key), value: encode(entry.value), mod_revision: String(entry.revision) }
}

function header (revision: number): object {
  return { revision: String(revision) }
}

function parse (body: Buffer): Body {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    throw new StandInFailure(400, { error: { message: 'malformed JSON', verdict: 'not-run' } })
  }
}

function encode (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

function decode (text: string): string {
  return Buffer.from(text, 'base64').toString('utf8')
}
