import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { machineSettingsSchema } from '../../platform/settings.js'
import type { GatewaySettings } from '../../src/gateway/settings.js'
import { keepSettings } from '../../src/gateway/settings-reload.js'
import { createLog } from '../../src/log.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const settings = (more: object = {}): GatewaySettings => machineSettingsSchema.parse({
  nodeName: 'n', ip: '127.0.0.1', zone: 'a', zones: { a: 'r', b: 'r' }, internalPorts: [1, 2], listen: { front: '127.0.0.1:1', ready: '127.0.0.1:2' }, limits: { memoryMb: 1, maxFds: 1 }, platform: { address: '127.0.0.1:3' }, ...more
})

describe('settings of a running node', () => {
  // A settings file changes, the platform says so by SIGHUP, and the process ends of it: what it was
  // serving is cut off, on a third of the machines within two seconds.
  it('are read again, taken over where that is possible, and kept where they make no sense', async () => {
    const clock = createManualClock()
    const lines: { event: string, changed?: string, afterRestart?: string }[] = []
    const ending = new AbortController()
    let file: () => GatewaySettings = () => settings()
    const keeper = keepSettings({ initial: settings(), read: () => file(), clock, log: createLog('n', 'info', clock.wall, (line) => { lines.push(JSON.parse(line)) }), signal: ending.signal })
    await clock.advance(0)

    file = () => settings({ platform: { address: '127.0.0.1:9' }, zone: 'b' })
    keeper.reload('signal')
    assert.deepEqual([keeper.current().store.port, keeper.current().failureDomain], [9, 'a'])
    assert.deepEqual([lines.at(-1)?.event, lines.at(-1)?.changed, lines.at(-1)?.afterRestart], ['settings-reloaded', 'failureDomain store', 'failureDomain'])

    file = () => { throw new Error('boot.toml: ip: wrong') }
    keeper.reload('signal')
    assert.equal(lines.at(-1)?.event, 'settings-refused')
    assert.equal(keeper.current().store.port, 9)

    file = () => settings({ platform: { address: '127.0.0.1:10' } })
    await clock.advance(5_000)
    assert.equal(keeper.current().store.port, 10, 'found without a signal')
    ending.abort()
  })
})
