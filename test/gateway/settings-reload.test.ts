/** Reload of settings on a signal and by polling. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { gatewaySettingsSchema } from '../../platform/settings.js'
import type { GatewaySettings } from '../../src/gateway/settings.js'
import { watchSettings } from '../../src/gateway/settings-reload.js'
import { createLog } from '../../src/log.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const settings = (more: object = {}): GatewaySettings => gatewaySettingsSchema.parse({
  nodeName: 'n', ip: '127.0.0.1', zone: 'a', zones: { a: 'r', b: 'r' }, internalPorts: [1, 2], listen: { front: '127.0.0.1:1', ready: '127.0.0.1:2' }, limits: { memoryMb: 1, maxFds: 1 }, platform: { address: '127.0.0.1:3' }, ...more
})

describe('the settings of a running node', () => {
  // Failure guarded against: the platform sends SIGHUP after a change of the settings file, and the process terminates by
  // the default action of the signal. That cuts off its requests, on a third of the instances within two seconds.
  it('are reloaded, applied where a running process can apply them, and kept if the new ones are invalid', async () => {
    const clock = createManualClock()
    const lines: { event: string, changed?: string, afterRestart?: string }[] = []
    const shutdown = new AbortController()
    let file: () => GatewaySettings = () => settings()
    const watcher = watchSettings({ initial: settings(), read: () => file(), clock, log: createLog('n', 'info', clock.wall, (line) => { lines.push(JSON.parse(line)) }), signal: shutdown.signal })
    await clock.advance(0)

    file = () => settings({ platform: { address: '127.0.0.1:9' }, zone: 'b' })
    watcher.reload('signal')
    assert.deepEqual([watcher.current().store.port, watcher.current().failureDomain], [9, 'a'])
    assert.deepEqual([lines.at(-1)?.event, lines.at(-1)?.changed, lines.at(-1)?.afterRestart], ['settings-reloaded', 'failureDomain store', 'failureDomain'])

    file = () => { throw new Error('boot.toml: ip: wrong') }
    watcher.reload('signal')
    assert.equal(lines.at(-1)?.event, 'settings-refused')
    assert.equal(watcher.current().store.port, 9)

    file = () => settings({ platform: { address: '127.0.0.1:10' } })
    await clock.advance(5_000)
    assert.equal(watcher.current().store.port, 10, 'found without a signal')
    shutdown.abort()
  })
})
