/** Feeds the scheduler with upstreams, load reports, cache events, the number of nodes and ticks. */
import type { Clock, Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import type { InstanceName, UpstreamName } from '../identifiers.js'
import { createEngine } from '../protocols/engine.js'
import type { CacheEvent } from '../protocols/engine.js'
import type { Connections } from '../protocols/http.js'
import { usedUpstreams } from '../upstream/index.js'
import type { UpstreamView } from '../upstream/index.js'
import type { Dispatcher } from './dispatcher.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Options of the scheduler feed. */
export interface SchedulerFeedOptions {
  readonly dispatcher: Dispatcher
  readonly directory: UpstreamDirectory
  /** Name of this node. It determines which upstreams of a large service the node uses and polls. */
  readonly node: InstanceName
  readonly connections: Connections
  /** Number of entry nodes that share the upstreams, including this node. */
  readonly nodeCount: () => number
  readonly clock: Clock
  readonly signal: AbortSignal
}

const TICK_PERIOD: Milliseconds = 50
const LOAD_PERIOD: Milliseconds = SECOND

/** Cache events arrive late in any case and only adjust an estimate. Decisions depend mainly on the load reports. */
const CACHE_PERIOD: Milliseconds = 2 * SECOND
const NODE_COUNT_PERIOD: Milliseconds = SECOND

/**
 * Starts the feed. It runs until the signal aborts. Failures of single polls are ignored.
 *
 * @example
 * startSchedulerFeed({ dispatcher, directory, node, connections, nodeCount, clock, signal })
 */
export function startSchedulerFeed (options: SchedulerFeedOptions): void {
  const { dispatcher, directory, connections, clock, signal } = options
  const cacheSequences = new Map<UpstreamName, number>()
  let lastNodeCount = 0

  function modelUpstreams (): readonly UpstreamView[] {
    const used = usedUpstreams(options.node, directory.views(), Math.max(1, options.nodeCount()))
    return used.filter((view) => view.protocol === 'model')
  }

  async function pollLoads (): Promise<void> {
    await Promise.allSettled(modelUpstreams().map(pollLoad))
  }

  async function pollCaches (): Promise<void> {
    const present = modelUpstreams()
    dropRemovedUpstreams(present)
    await Promise.allSettled(present.map(pollCache))
  }

  function dropRemovedUpstreams (present: readonly UpstreamView[]): void {
    const names = new Set(present.map((view) => view.name))
    for (const upstream of cacheSequences.keys()) {
      if (!names.has(upstream)) cacheSequences.delete(upstream)
    }
  }

  async function pollLoad (view: UpstreamView): Promise<void> {
    const report = await createEngine(connections, view.address).load(signal)
    if (report.upstream !== view.name) return
    if (report.leaving) directory.markLeaving(view.name, 'engine')
    dispatcher.notify({ kind: 'load', report })
  }

  async function pollCache (view: UpstreamView): Promise<void> {
    const after = cacheSequences.get(view.name) ?? 0
    const { events, next } = await createEngine(connections, view.address).cacheEvents(after, signal)
    cacheSequences.set(view.name, next)
    if (events.length > 0) dispatcher.notify({ kind: 'cache', upstream: view.name, ...summarise(events, after) })
  }

  function tick (): void {
    dispatcher.notify({ kind: 'tick' })
  }

  function countNodes (): void {
    const count = options.nodeCount()
    if (count === lastNodeCount) return
    lastNodeCount = count
    dispatcher.notify({ kind: 'nodes', count })
  }

  const ignoreFailure = (): void => {}
  directory.notices.on('changed', (views) => dispatcher.notify({ kind: 'upstreams', upstreams: views }))
  dispatcher.notify({ kind: 'upstreams', upstreams: directory.views() })
  tick()
  every(clock, TICK_PERIOD, signal, tick, ignoreFailure).catch(ignoreFailure)
  every(clock, LOAD_PERIOD, signal, pollLoads, ignoreFailure).catch(ignoreFailure)
  every(clock, CACHE_PERIOD, signal, pollCaches, ignoreFailure).catch(ignoreFailure)
  every(clock, NODE_COUNT_PERIOD, signal, countNodes, ignoreFailure).catch(ignoreFailure)
}

/** Net effect of a sequence of cache events. `gap` is set if events are missing from the sequence. */
function summarise (events: readonly CacheEvent[], after: number): { stored: string[], evicted: string[], gap: boolean } {
  const stored = new Set<string>()
  const evicted = new Set<string>()
  let gap = false
  let previous = after
  for (const event of events) {
    gap ||= event.sequence !== previous + 1
    previous = event.sequence
    const [into, outOf] = event.kind === 'stored' ? [stored, evicted] : [evicted, stored]
    for (const block of event.blocks) {
      into.add(block)
      outOf.delete(block)
    }
  }
  return { stored: [...stored], evicted: [...evicted], gap }
}
