#!/usr/bin/env node
/** `hornbeamgap-gateway`: a gateway node on the users' machines. */
import { createPlatform, gatewaySettingsSchema, SETTINGS_VARIABLE } from '../../platform/index.js'
import { createBoundedLineSink } from '../bounded-lines.js'
import { createSystemClock } from '../clock.js'
import { startGatewayNode } from '../gateway/node.js'
import { watchSettings } from '../gateway/settings-reload.js'
import { createLog } from '../log.js'
import { createFreshConnections } from '../protocols/http.js'
import { createRandom } from '../random.js'
import { loadSettings } from '../settings.js'
import { runServer } from './command-line.js'

/**
 * Connections to the store and the platform's API, one for each call.
 *
 * Failure guarded against: all open connections fall silent for good. A call on one that was kept would wait
 * for its bound and be repeated on the next such one, while a change has to be in force within two seconds.
 */
const PLATFORM_CONNECTIONS = 16

runServer({
  name: 'hornbeamgap-gateway',
  description: 'Run a gateway node',
  schema: gatewaySettingsSchema,
  defaultSettings: process.env[SETTINGS_VARIABLE],
  start: async (initial, _options, path) => {
    const clock = createSystemClock()
    const ending = new AbortController()
    const lines = createBoundedLineSink(process.stdout, clock, (leftOut) => JSON.stringify({ time: new Date(clock.wall()).toISOString(), level: 'warn', process: initial.name, event: 'lines-left-out', ...leftOut }))
    const log = createLog(initial.name, 'info', clock.wall, lines)
    const settings = watchSettings({ initial, read: () => loadSettings(gatewaySettingsSchema, path), clock, log, signal: ending.signal })
    process.on('SIGHUP', () => settings.reload('signal'))
    const connections = createFreshConnections(PLATFORM_CONNECTIONS)
    const platform = createPlatform(settings.current, connections)
    const node = await startGatewayNode({ settings: initial, platform, clock, random: createRandom(process.pid ^ clock.wall()), log })
    return async () => {
      await node.stop()
      ending.abort()
      await connections.destroy()
    }
  }
})
