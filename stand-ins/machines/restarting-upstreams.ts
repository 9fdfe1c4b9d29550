/** Upstreams that crash and come back some time later as new incarnations at new addresses, as on the users' platform. */
import type { IncomingMessage } from 'node:http'
import type { Clock, Milliseconds } from '../../src/clock.js'
import type { MachineDeployment } from './deployment.js'
import { serveUpstream } from './upstream.js'
import type { Behaviour, CrashEnd, Run, UpstreamStandIn } from './upstream.js'

/** A crash of one upstream. */
export interface UpstreamCrash {
  readonly at: Milliseconds
  /** Headers of the request that crashed it; undefined if there was none. */
  readonly headers: IncomingMessage['headers'] | undefined
}

/** A fleet of upstreams of one service. */
export interface RestartingUpstreams {
  /** All crashes, the earliest first. */
  readonly crashes: readonly UpstreamCrash[]
  /** Upstreams that serve now. */
  serving (): readonly UpstreamStandIn[]
  /** Requests that reached any incarnation. */
  runs (): readonly Run[]
  close (): Promise<void>
}

/** Options of {@link startRestartingUpstreams}. */
export interface RestartingUpstreamsOptions {
  readonly clock: Clock
  readonly deployment: MachineDeployment
  readonly service: string
  readonly count: number
  readonly slots: number
  /** Time from a crash until the next incarnation serves. */
  readonly restartTime: Milliseconds
  /** What an upstream does with a request. */
  readonly behave: (headers: IncomingMessage['headers']) => Behaviour
  readonly events: number
  readonly pause: Milliseconds
  readonly unframed?: boolean
  readonly eventsBeforeCrash?: number
  readonly crashEnd?: CrashEnd
  /** Version of their software. */
  readonly version?: (index: number) => string
}

/**
 * Starts the upstreams and registers them.
 *
 * @example
 * const upstreams = await startRestartingUpstreams({ clock, deployment, service: 'model', count: 14, slots: 64, restartTime: 2_000, behave, events: 5, pause: 20 })
 */
export async function startRestartingUpstreams (options: RestartingUpstreamsOptions): Promise<RestartingUpstreams> {
  const { clock, deployment, service, count, slots, restartTime, behave } = options
  const crashes: UpstreamCrash[] = []
  const all: UpstreamStandIn[] = []
  const closing = new AbortController()

  async function start (index: number, incarnation: number): Promise<void> {
    const upstream = await serveUpstream({ ...options, id: `i-${index}-${incarnation}`, onCrash: (headers) => restart(index, incarnation, upstream, headers) })
    upstream.setBehaviour((_lastEvent, headers) => behave(headers))
    all.push(upstream)
    deployment.register(upstream, { service, slots, version: options.version?.(index) ?? 'v1' })
  }

  function restart (index: number, incarnation: number, crashed: UpstreamStandIn, headers: UpstreamCrash['headers']): void {
    crashes.push({ at: clock.now(), headers })
    clock.schedule(restartTime, () => {
      if (closing.signal.aborted) return
      deployment.unregister(crashed)
      start(index, incarnation + 1).catch((error) => { throw error })
    })
  }

  await Promise.all(Array.from({ length: count }, (_, index) => start(index, 1)))
  return {
    crashes,
    serving: () => all.filter((upstream) => !upstream.hasCrashed()),
    runs: () => all.flatMap(({ runs }) => runs),
    close: async () => {
      closing.abort()
      await Promise.all(all.map((upstream) => upstream.close()))
    }
  }
}
