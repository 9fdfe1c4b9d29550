#!/usr/bin/env node
/** `hornbeamgap-gateway`: runs a gateway node on the machines of its users. */
import { createPlatform, gatewaySettingsSchema, SETTINGS_VARIABLE } from '../../platform/index.js'
import { createBoundedLineSink } from '../bounded-line-sink.js'
import { createSystemClock } from '../clock.js'
import { startGatewayNode } from '../gateway/node.js'
import { watchSettings } from '../gateway/settings-reload.js'
import { createLog } from '../log.js'
import { createFreshConnections } from '../protocols/http.js'
import { createRandom } from '../random.js'
import { loadSettings } from '../settings.js'
import { runServer } from './command-line.js'

/**
 * Maximum number of connections to each address of the store and of the platform's API. Each call opens a new
 * connection.
 *
 * Failure guarded against: all open connections stop delivering data without being closed. A call on a reused
 * connection would run into its timeout and be repeated on the next reused connection, although a change must be in
 * force within 2 s.
 */
const MAX_PLATFORM_CONNECTIONS = 16

runServer({
  name: 'hornbeamgap-gateway',
  description: 'Run a gateway node',
  schema: gatewaySettingsSchema,
  defaultSettings: process.env[SETTINGS_VARIABLE],
  start: async (initial, _options, path) => {
    const clock = createSystemClock()
    const shutdown = new AbortController()
    const lines = createBoundedLineSink(process.stdout, clock, (leftOut) => JSON.stringify({ time: new Date(clock.wall()).toISOString(), level: 'warn', process: initial.name, event: 'lines-left-out', ...leftOut }))
    const log = createLog(initial.name, 'info', clock.wall, lines)
    const settings = watchSettings({ initial, read: () => loadSettings(gatewaySettingsSchema, path), clock, log, signal: shutdown.signal })
    process.on('SIGHUP', () => settings.reload('signal'))
    const connections = createFreshConnections(MAX_PLATFORM_CONNECTIONS)
    const platform = createPlatform(settings.current, connections)
    const node = await startGatewayNode({ settings: initial, platform, clock, random: createRandom(process.pid ^ clock.wall()), log })
    return async () => {
      await node.stop()
      shutdown.abort()
      await connections.destroy()
    }
  }
})
