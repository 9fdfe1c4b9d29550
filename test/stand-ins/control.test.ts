/** Tests the HTTP API that controls a running stand-in platform by hand. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { createRandom } from '../../src/random.js'
import { serveControl } from '../../stand-ins/control.js'
import { startPlatform } from '../../stand-ins/platform.js'
import { loadSample } from '../../stand-ins/sample.js'
import { onFreePorts } from '../../stand-ins/sample-deployment.js'

test('a reclaim marks instances as leaving before it ends them, and faults are set by name', async () => {
  const clock = createSystemClock()
  const sample = onFreePorts(loadSample('samples/tsubame-kyushu').platform)
  const platform = await startPlatform({ clock, random: createRandom(1), sample })
  const control = await serveControl({ port: 0, platform, clock })
  const post = async (path: string, body: unknown): Promise<{ status: number, text: string }> => {
    const response = await fetch(`http://${control.address}${path}`, { method: 'POST', body: JSON.stringify(body) })
    return { status: response.status, text: await response.text() }
  }
  const leaving = (): number => platform.instanceList.current().filter((instance) => instance.state === 'leaving').length
  try {
    assert.equal((await post('/reclaim', { failure_domain: 'kyushu-a', notice_ms: 500 })).status, 200)
    while (leaving() === 0) await clock.sleep(5)
    assert.equal(leaving(), 3)
    while (platform.fleet.engines().length > 4) await clock.sleep(5)
    assert.equal(platform.fleet.plainServices().length, 2)

    await post('/faults', { target: 'key-value', faults: { down: true } })
    assert.equal(platform.keyValue.faultSwitch.faults.down, true)
    await post('/faults', { target: 'engine-2', faults: { stallAfter: 3 } })
    assert.equal(platform.fleet.engines().find((engine) => engine.upstream === 'engine-2')?.faults.stallAfter, 3)
    const unknown = await post('/faults', { target: 'engine-2', faults: { melt: true } })
    assert.equal(unknown.status, 400)
    assert.match(unknown.text, /there are .*stallAfter/)
    assert.equal((await post('/reclaim', { weights: 1 })).status, 400)
  } finally {
    await Promise.all([control.kill(), platform.kill()])
  }
})
