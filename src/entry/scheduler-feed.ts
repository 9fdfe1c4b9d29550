/** Feeds the scheduler: upstreams, load, cache events, node count and time. */
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

/** Where the feed takes its news from. */
export interface SchedulerFeedOptions {
  readonly dispatcher: Dispatcher
  readonly directory: UpstreamDirectory
  /** Name of this node: of a large service it follows only the part that it uses. */
  readonly node: InstanceName
  readonly connections: Connections
  /** Entry nodes that share the upstreams, this one included. */
  readonly nodeCount: () => number
  readonly clock: Clock
  readonly signal: AbortSignal
}

const TICK_PERIOD: Milliseconds = 50
const LOAD_PERIOD: Milliseconds = SECOND

/** Cache events are late anyway and only shift an estimate; load decides. */
const CACHE_PERIOD: Milliseconds = 2 * SECOND
const NODE_COUNT_PERIOD: Milliseconds = SECOND

/**
 * @example
 * startSchedulerFeed({ dispatcher, directory, node, connections, nodeCount, clock, signal })
 */
export function startSchedulerFeed (options: SchedulerFeedOptions): void {
  const { dispatcher, directory, connections, clock, signal } = options
  const cacheSequences = new Map<UpstreamName, number>()
  let nodes = 0

  function models (): readonly UpstreamView[] {
    const used = usedUpstreams(options.node, directory.views(), Math.max(1, options.nodeCount()))
    return used.filter((view) => view.protocol === 'model')
  }

  async function pollLoads (): Promise<void> {
    await Promise.allSettled(models().map(pollLoad))
  }

  async function pollCaches (): Promise<void> {
    const present = models()
    forgetGone(present)
    await Promise.allSettled(present.map(pollCache))
  }

  function forgetGone (present: readonly UpstreamView[]): void {
    const names = new Set(present.map((view) => view.name))
    for (const upstream of cacheSequences.keys()) {
      if (!names.has(upstream)) cacheSequences.delete(upstream)
    }
  }

  async function pollLoad (view: UpstreamView): Promise<void> {
    const report = await createEngine(connections, view.address).load(signal)
    if (report.upstream !== view.name) return
    if (report.leaving) directory.markLeaving(view.name, 'engine')
    dispatcher.feed({ kind: 'load', report })
  }

  async function pollCache (view: UpstreamView): Promise<void> {
    const after = cacheSequences.get(view.name) ?? 0
    const { events, next } = await createEngine(connections, view.address).cacheEvents(after, signal)
    cacheSequences.set(view.name, next)
    if (events.length > 0) dispatcher.feed({ kind: 'cache', upstream: view.name, ...summarise(events, after) })
  }

  function tick (): void {
    dispatcher.feed({ kind: 'tick' })
  }

  function countNodes (): void {
    const count = options.nodeCount()
    if (count === nodes) return
    nodes = count
    dispatcher.feed({ kind: 'nodes', count })
  }

  const quiet = (): void => {}
  directory.notices.on('changed', (views) => dispatcher.feed({ kind: 'upstreams', upstreams: views }))
  dispatcher.feed({ kind: 'upstreams', upstreams: directory.views() })
  tick()
  every(clock, TICK_PERIOD, signal, tick, quiet).catch(quiet)
  every(clock, LOAD_PERIOD, signal, pollLoads, quiet).catch(quiet)
  every(clock, CACHE_PERIOD, signal, pollCaches, quiet).catch(quiet)
  every(clock, NODE_COUNT_PERIOD, signal, countNodes, quiet).catch(quiet)
}

/** What a run of events adds up to; events that are missing from it are a gap. */
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
