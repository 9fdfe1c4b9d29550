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
    { name: 'plan', host: HOST, prefix: '/plan/', kind: 'streaming', timeoutMs: 10_000, targetLatencyMs: 800, targetGapMs: 800, service: 'model', maxAttempts: 1 },
    { name: 'booking', host: HOST, prefix: '/booking/', kind: 'non_idempotent', timeoutMs: 5_000, targetLatencyMs: 2_000, service: 'plain', maxAttempts: 1 }
  ],
  services: [{ name: 'model', maxConns: 500, engine: { slots: 64, moves: false } }, { name: 'plain', maxConns: 500 }]
}

/** Time for which a booking runs, and the pause between two of them. */
const BOOKING_TIME: Milliseconds = 600
const BOOKING_INTERVAL: Milliseconds = 50

interface StreamAnswer {
  readonly events: readonly number[]
  /** Whether the answer ended as its framing says. */
  readonly isComplete: boolean
}

describe('a node that relays and stops', () => {
  let deployment: MachineDeployment
  /** Engine and plain service to which the asking node has lost the path. */
  let cutEngine: UpstreamStandIn
  let plain: UpstreamStandIn
  let otherEngine: UpstreamStandIn
  let paths: ReadonlyMap<string, SeverablePath>
  let asker: GatewayNode
  let relays: ReadonlyMap<string, GatewayNode>
  let lastId = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    cutEngine = await serveUpstream({ id: 'm-1', clock, events: EVENTS, pause: EVENT_PAUSE, unframed: true })
    otherEngine = await serveUpstream({ id: 'm-2', clock, events: EVENTS, pause: EVENT_PAUSE, unframed: true })
    plain = await serveUpstream({ id: 'p-1', clock, work: BOOKING_TIME })
    paths = new Map(await Promise.all([cutEngine, plain].map(async ({ address }) => [address, await openSeverablePath(address)] as const)))
    deployment.register(cutEngine, { service: 'model', slots: 64 })
    deployment.register(plain, { service: 'plain', slots: 64 })
    asker = await deployment.startNodeWithPaths('asker', (address) => paths.get(address)?.address ?? address)
    relays = new Map(await Promise.all(RELAY_NAMES.map(async (name) => [name, await deployment.startNode(name)] as const)))
    await Promise.all([...paths.values()].map((path) => path.sever('silent')))
    while (linesOf('path-lost').length < paths.size) {
      await Promise.all([ask('question', (events) => events > 0), book()])
      await clock.sleep(POLL_INTERVAL)
    }
  })

  after(async () => {
    await deployment?.close()
    await Promise.all([...paths?.values() ?? [], cutEngine, otherEngine, plain].map((opened) => opened?.close()))
  })

  /** @param since number of lines of the deployment that are passed over */
  function linesOf (event: string, since = 0): readonly Record<string, unknown>[] {
    return deployment.lines.slice(since).filter((line) => line.event === event && line.process === 'asker')
  }

  /** @returns the status of a request that may run only once */
  async function book (): Promise<number> {
    lastId += 1
    const { statusCode, body } = await request(`http://${asker.addresses.front}/booking/x`, { method: 'POST', body: `booking ${lastId}`, headers: { host: HOST, [HEADER.requestId]: `r${lastId}`, [HEADER.deadline]: '4000' } })
    await body.dump()
    return statusCode
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

  // Guards against requests that are cut off though another node could have relayed them: they are sent on kept connections of a stopping node.
  it('is sent no further requests on the connections that it relays', { timeout: 30_000 }, async () => {
    await Promise.all(Array.from({ length: 20 }, book))
    const stop = { isOver: false }
    const stopped = (await busiestRelay()).stop().then(() => { stop.isOver = true })
    const bookings: Promise<number>[] = []
    while (!stop.isOver) {
      bookings.push(book())
      await clock.sleep(BOOKING_INTERVAL)
    }
    await stopped
    const statuses = await Promise.all(bookings)
    assert.deepEqual(statuses.filter((status) => status !== 200), [])
  })

  // Guards against an upstream that is avoided, and prompts that are suspected, since a node between ended: the upstream is sound.
  it('is not taken for a failure of the upstream, and a stream that may be resumed goes on', { timeout: 30_000 }, async () => {
    const earlierLines = deployment.lines.length
    let stop: Promise<void> | undefined
    const answer = await ask('question', (events) => {
      if (events > 0) stop ??= stopRelays()
      return false
    })
    await stop
    assert.deepEqual(answer, { events: EVENT_IDS, isComplete: true })
    assert.equal(linesOf('attempt-broken', earlierLines).length, 1)
    assert.deepEqual(linesOf('upstream-paused', earlierLines).map(({ reason }) => reason), [])
    assert.deepEqual(linesOf('upstream-crash-seen', earlierLines), [])
  })

  /** The node that relays most connections now. */
  async function busiestRelay (): Promise<GatewayNode> {
    const counted = await Promise.all([...relays.values()].map(async (node) => {
      const { body } = await request(`http://${node.addresses.ready}/metrics`)
      return { node, tunnels: Number(/^\S*tunnels_open\S* (\d+)$/m.exec(await body.text())?.[1]) }
    }))
    counted.sort((left, right) => right.tunnels - left.tunnels)
    assert.ok(counted[0]!.tunnels > 0)
    return counted[0]!.node
  }

  /** Stops all relays, and registers another engine, which the asking node reaches by itself. */
  async function stopRelays (): Promise<void> {
    deployment.register(otherEngine, { service: 'model', slots: 64 })
    await Promise.all([...relays.values()].map((relay) => relay.stop()))
  }
})
