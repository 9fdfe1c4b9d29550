/** Log lines and metrics of the expected wait at upstreams. */
import assert from 'node:assert/strict'
import { it } from 'node:test'
import type { EventLog } from '../../src/events/index.js'
import { createGatewayMetrics } from '../../src/gateway/metrics.js'
import { createSlownessReporter } from '../../src/gateway/upstream-slowness.js'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import type { RouteTable } from '../../src/routing/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { routeTo, upstreamRecord } from '../placement/records.js'

// Failure guarded against: engines are full for 4 s and 27 % of the short questions are late, while no line and no metric of
// the nodes shows a wait.
it('an upstream where requests wait is named in a log line and in the metrics', async () => {
  const clock = createManualClock()
  const metrics = createGatewayMetrics()
  const lines: unknown[] = []
  const note = (event: string, facts?: object): void => { lines.push({ event, ...facts }) }
  const log: EventLog = { info: note, warn: note, error: note }
  const routeTable = (): RouteTable => ({
    configuration: { routes: [routeTo('s', { target: 1_200 }), routeTo('s', { target: 800 })] },
    service: () => ({ hasEngines: true })
  }) as unknown as RouteTable
  const upstreams = createUpstreamView()
  upstreams.put(upstreamRecord('i'), 1)
  const report = createSlownessReporter({ clock, log, metrics, upstreams, routeTable })
  report()
  const open = upstreams.begin({ upstream: upstreamRecord('i'), reading: 450, cached: 0, waiting: 0, candidates: 1, firstAnswer: 480 }, clock.now())
  report()
  report()
  assert.match(metrics.text(), /^hornbeamgap_upstream_wait_ms\{upstream="i"\} 450$/m)
  await clock.advance(300)
  open.answered(clock.now())
  report()
  assert.deepEqual(lines, [
    { event: 'upstream-slow', upstream: 'i', service: 's', waiting: 450, slowness: 1, target: 800 },
    { event: 'upstream-recovered', upstream: 'i', service: 's', waiting: 0, slowness: 1 }
  ])
})
