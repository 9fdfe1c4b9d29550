/** A node that relays connections of another one and stops, seen by the callers of the other one. */
import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { request } from 'undici'
import { HEADER } from '../../platform/names.js'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { openSeverablePath } from '../../stand-ins/machines/severable-path.js'
import type { SeverablePath } from '../../stand-ins/machines/severable-path.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const RELAY_NAMES = ['relay-1', 'relay-2', 'relay-3', 'relay-4']
const POLL_INTERVAL: Milliseconds = 20

/** A stream lasts longer than the grace period of a node, which is 2 s here. */
const EVENTS = 60
const EVENT_PAUSE: Milliseconds = 50
const EVENT_IDS = Array.from({ length: EVENTS }, (_, index) => index + 1)

const configuration = {
  version: 1,
  routes: [
    { name: 'question', host: HOST, prefix: '/question/', kind: 'streaming', resumable: true, timeoutMs: 10_000, targetLatencyMs: 800, targetGapMs: 800, service: 'model', maxAttempts: 4 },
    { name: 'plan', host: HOST, prefix: '/plan/', kind: 'streaming', timeoutMs: 10_000, targetLatencyMs: 800, targetGapMs: 800, service: 'model', maxAttempts: 1 }
  ],
  services: [{ name: 'model', maxConns: 500, engine: { slots: 64, moves: false } }]
}

interface StreamAnswer {
  readonly events: readonly number[]
  /** Whether the answer ended as its framing says. */
  readonly isComplete: boolean
}

describe('a node that relays and stops', () => {
  let deployment: MachineDeployment
  let upstreams: UpstreamStandIn[]
  let path: SeverablePath
  let asker: GatewayNode
  let relays: ReadonlyMap<string, GatewayNode>
  let lastId = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    upstreams = await Promise.all(['m-1', 'm-2'].map((id) => serveUpstream({ id, clock, events: EVENTS, pause: EVENT_PAUSE, unframed: true })))
    path = await openSeverablePath(upstreams[0]!.address)
    registerOnly(upstreams[0]!)
    asker = await deployment.startNodeWithPaths('asker', (address) => address === upstreams[0]!.address ? path.address : address)
    relays = new Map(await Promise.all(RELAY_NAMES.map(async (name) => [name, await deployment.startNode(name)] as const)))
    await path.sever('silent')
    while (relayInUse() === undefined) {
      await ask('question', (events) => events > 0)
      await clock.sleep(POLL_INTERVAL)
    }
  })

  after(async () => {
    await deployment?.close()
    await path?.close()
    await Promise.all((upstreams ?? []).map((upstream) => upstream.close()))
  })

  function registerOnly (only: UpstreamStandIn): void {
    for (const upstream of upstreams) {
      if (upstream === only) deployment.register(upstream, { service: 'model', slots: 64 })
      else deployment.unregister(upstream)
    }
  }

  function linesOf (event: string): readonly Record<string, unknown>[] {
    return deployment.lines.filter((line) => line.event === event && line.process === 'asker')
  }

  /** Name of the node that relayed the first connection. */
  function relayInUse (): string | undefined {
    return linesOf('path-lost').at(-1)?.relay as string | undefined
  }

  /** @param isEnough called with the number of events so far; the caller leaves once it is true */
  async function ask (route: 'question' | 'plan', isEnough: (events: number) => boolean): Promise<StreamAnswer> {
    lastId += 1
    const headers = { host: HOST, [HEADER.requestId]: `r${lastId}`, [HEADER.deadline]: '9000', [HEADER.tokenUsage]: '100,10' }
    let text = ''
    let isComplete = false
    try {
      const { body } = await request(`http://${asker.addresses.front}/${route}/x`, { method: 'POST', body: `${route} ${lastId}`, headers })
      for await (const chunk of body) {
        text += String(chunk)
        if (isEnough(eventsIn(text).length)) break
      }
      isComplete = true
    } catch { /* cut off */ }
    return { events: eventsIn(text), isComplete }
  }

  function eventsIn (text: string): number[] {
    return [...text.matchAll(/^id: (\d+)\n.*\n\n/gm)].map(([, event]) => Number(event))
  }

  // Guards against an upstream that is avoided, and prompts that are suspected, since a node between ended: the upstream is sound.
  it('is not taken for a failure of the upstream, and a stream that may be resumed goes on', { timeout: 30_000 }, async () => {
    let stop: Promise<void> | undefined
    const answer = await ask('question', (events) => {
      if (events > 0) stop ??= stopRelays()
      return false
    })
    await stop
    assert.deepEqual(answer, { events: EVENT_IDS, isComplete: true })
    assert.equal(linesOf('attempt-broken').length, 1)
    assert.deepEqual(linesOf('upstream-paused').map(({ reason }) => reason), [])
    assert.deepEqual(linesOf('upstream-crash-seen'), [])
  })

  /** Stops all relays, and has another upstream registered that the asker reaches by itself. */
  async function stopRelays (): Promise<void> {
    deployment.register(upstreams[1]!, { service: 'model', slots: 64 })
    await Promise.all([...relays.values()].map((relay) => relay.stop()))
  }
})
