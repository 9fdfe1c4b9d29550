/**
 * Stand-in of a model engine: continuous batching, a prefix cache in limited memory, priorities,
 * resumable and cancellable streams, cache export, load reports with a lag, a feed of cache events with
 * gaps, and orders with or without fencing. An answer is a function of the prompt, so that a caller can
 * check that an answer is complete and its own.
 */
import { engineOrderSchema } from '../src/protocols/engine.js'
import { createConnections } from '../src/protocols/http.js'
import { createBatch } from './engine/batch.js'
import { createCacheFeed } from './engine/cache-feed.js'
import { createDesiredState } from './engine/desired-state.js'
import { writeStream } from './engine/follower.js'
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
 * - An answer is generated independently of its connections until it is complete, cancelled or moved.
 * - An export pauses the answer at its offset. After a successful export the answer continues at the target
 *   under the returned handle, and connections to this engine stay open and silent. After a failed export
 *   the answer continues here.
 * - A prompt that contains {@link CRASH_MARK} kills the engine when its prefill is complete.
 *
 * @example
 * const engine = await serveEngine({ port: 0, upstream, clock, random })
 */
export async function serveEngine (options: EngineOptions): Promise<EngineStandIn> {
  const { clock, upstream, random } = options
  const shape = { ...DEFAULT_SHAPE, ...options.shape }
  const lifetime = new AbortController()
  const { signal } = lifetime
  const connections = createConnections(4)
  const faultSwitch = createFaultSwitch(clock, random)
  const faults = createFaults()
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

  async function startAnswer (call: StandInCall): Promise<undefined> {
    const body = parseCall(engineBodySchema, call)
    refuseIfUnable(body)
    started.push(call.body.toString('utf8'))
    const offset = body.continuation?.offset ?? 0
    const stream = createStream(body, offset, false)
    registry.enter(stream)
    await writeStream(stream, offset, true, faults, call.response)
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
    await writeStream(stream, Number(call.query.get('offset') ?? 0), false, faults, call.response)
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
      case 'POST /v1/chat/completions': return startAnswer(call)
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
    lifetime.abort()
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
    countStarts: (text) => started.filter((body) => body.includes(text)).length,
    computed: () => tokens.prompt - tokens.cached + tokens.recomputed,
    open: registry.open,
    orders: state.obeyed,
    models: state.models,
    setLeaving: (value) => { leaving = value },
    alive: () => !signal.aborted,
    onDeath: (listener) => { deathListeners.add(listener) }
  }
}

function createFaults (): EngineFaults {
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
