/**
 * A model engine's stand-in: continuous batching, a prefix cache in limited memory, priorities,
 * resumable and cancellable streams, cache export, lagging load, a cache feed with gaps, and orders
 * with or without fencing. Its answers are a function of the prompt, so that any caller can tell a
 * whole answer of its own from anything else.
 */
import { engineOrderSchema } from '../src/protocols/engine.js'
import { createConnections } from '../src/protocols/http.js'
import { createBatch } from './engine/batch.js'
import { createCacheFeed } from './engine/cache-feed.js'
import { createDesiredState } from './engine/desired-state.js'
import { follow } from './engine/follower.js'
import { createLink } from './engine/link.js'
import { createLoadHistory } from './engine/load-history.js'
import { createPrefixCache } from './engine/prefix-cache.js'
import { parseCall, refusal } from './engine/messages.js'
import { createMovement } from './engine/movement.js'
import { createStreamRegistry } from './engine/registry.js'
import { createStream, engineBodySchema, setState } from './engine/stream.js'
import type { EngineBody } from './engine/stream.js'
import type { EngineFaults, EngineOptions, EngineShape, EngineStandIn, EngineTokens } from './engine/types.js'
import { createFaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInCall } from './http-server.js'

export { CRASH_MARK } from './engine/types.js'
export type { EngineFaults, EngineOptions, EngineShape, EngineStandIn, EngineTokens } from './engine/types.js'
export { answerWords } from './engine/words.js'

const DEFAULT_SHAPE: EngineShape = {
  prefillRate: 20,
  tokenTime: 5,
  batchCost: 0.03,
  batch: 16,
  cacheTokens: 65_536,
  linkRate: 40,
  loadLag: 0,
  cacheFeedDelay: 0,
  loadTime: 1_000
}

/**
 * Starts an engine.
 *
 * - An answer outlives its connections; it goes on until it is whole, cancelled or moved.
 * - An export holds the answer at its offset. When it succeeds, the answer goes on at the target under
 *   the returned handle, and connections here stay open and silent; when it fails, it goes on here.
 * - A prompt with {@link CRASH_MARK} kills the process once the prompt has been computed.
 *
 * @example
 * const engine = await serveEngine({ port: 0, upstream, clock, random })
 */
export async function serveEngine (options: EngineOptions): Promise<EngineStandIn> {
  const { clock, upstream, random } = options
  const shape = { ...DEFAULT_SHAPE, ...options.shape }
  const owner = new AbortController()
  const { signal } = owner
  const connections = createConnections(4)
  const faultSwitch = createFaultSwitch(clock, random)
  const faults = noFaults()
  const tokens: EngineTokens = { prompt: 0, cached: 0, recomputed: 0, generated: 0, imported: 0 }
  const started: string[] = []
  const deathListeners = new Set<() => void>()
  let leaving = false

  const feed = createCacheFeed({ clock, random, delay: shape.cacheFeedDelay, gaps: () => faults.cacheFeedGaps })
  const cache = createPrefixCache(shape.cacheTokens, feed.push)
  const link = createLink(clock, shape.linkRate)
  const batch = createBatch({ shape, faults, tokens, cache, clock, signal, crash: () => { kill().catch(() => {}) } })
  const registry = createStreamRegistry(batch)
  const movement = createMovement({ registry, link, faults, tokens, connections, signal, refuseIfUnable })
  const load = createLoadHistory(clock, shape.loadLag, () => ({ running: batch.running(), waiting: batch.waiting(), cacheUsed: cache.used() }))
  const state = createDesiredState({
    checkFencing: options.checkFencing ?? true,
    models: options.models ?? [],
    adapters: options.adapters ?? [],
    loadWeights: options.loadWeights ?? ((_name, loading) => clock.sleep(shape.loadTime, loading)),
    signal
  })

  async function start (call: StandInCall): Promise<undefined> {
    const body = parseCall(engineBodySchema, call)
    refuseIfUnable(body)
    started.push(call.body.toString('utf8'))
    const offset = body.continuation?.offset ?? 0
    const stream = createStream(body, offset, false)
    registry.enter(stream)
    await follow(stream, offset, true, faults, call.response)
    return undefined
  }

  function refuseIfUnable (body: EngineBody): void {
    if (faults.refuse) throw refusal(503, 'refused')
    if (leaving) throw refusal(503, 'leaving')
    if (options.models !== undefined && !state.models().includes(body.model)) throw refusal(503, `model ${body.model} is not loaded`)
    if (body.adapter !== undefined && options.models !== undefined && !state.adapters().includes(body.adapter)) throw refusal(503, `adapter ${body.adapter} is not loaded`)
  }

  async function handleStream (call: StandInCall, handle: string, action: string | undefined): Promise<unknown> {
    const stream = registry.find(handle)
    if (action === 'cancel') {
      if (stream.state !== 'finished') setState(stream, 'cancelled')
      return {}
    }
    if (stream.state === 'moved') throw new StandInFailure(410, { error: { message: 'the stream has moved', verdict: 'ran' } })
    await follow(stream, Number(call.query.get('offset') ?? 0), false, faults, call.response)
    return undefined
  }

  function loadReport (): object {
    const { figures, ageMs } = load()
    return { upstream, ...figures, ageMs, leaving, models: state.models(), adapters: state.adapters(), role: state.role(), generation: state.generation() }
  }

  async function handle (call: StandInCall): Promise<unknown> {
    const [, , kind, name, action] = call.path.split('/')
    if (kind === 'streams' && name !== undefined) return handleStream(call, decodeURIComponent(name), action)
    switch (`${call.method} ${call.path}`) {
      case 'POST /v1/chat/completions': return start(call)
      case 'GET /v1/load': return loadReport()
      case 'GET /v1/cache/events': return feed.after(Number(call.query.get('after') ?? 0))
      case 'POST /v1/cache/export': return movement.exportStream(call)
      case 'POST /v1/cache/import': return movement.importStream(call)
      case 'POST /v1/orders': return { obeyed: state.order(parseCall(engineOrderSchema, call)) }
      default: throw new StandInFailure(404, { error: { message: 'no such call', verdict: 'not-run' } })
    }
  }

  async function kill (): Promise<void> {
    if (signal.aborted) return
    owner.abort()
    for (const listener of deathListeners) listener()
    await Promise.all([server.kill(), connections.destroy()])
  }

  const server = await serveStandIn(options.port, clock, faultSwitch, handle)
  return {
    address: server.address,
    kill,
    upstream,
    faultSwitch,
    faults,
    tokens,
    started,
    startsOf: (text) => started.filter((body) => body.includes(text)).length,
    computed: () => tokens.prompt - tokens.cached + tokens.recomputed,
    open: registry.open,
    orders: state.obeyed,
    models: state.models,
    setLeaving: (value) => { leaving = value },
    alive: () => !signal.aborted,
    onDeath: (listener) => { deathListeners.add(listener) }
  }
}

function noFaults (): EngineFaults {
  return {
    refuse: false,
    slowdown: 1,
    stallAfter: undefined,
    silentAfter: undefined,
    resetAfter: undefined,
    duplicates: false,
    outOfOrder: false,
    foreignEvents: false,
    cacheFeedGaps: 0,
    refuseExport: false,
    loseExportReply: false
  }
}
