#!/usr/bin/env node
/** `hornbeamgap-gateway`: a gateway node on the users' machines. */
import { createPlatform, machineSettingsSchema, SETTINGS_VARIABLE } from '../../platform/index.js'
import { createSystemClock } from '../clock.js'
import { startGatewayNode } from '../gateway/node.js'
import { createLog } from '../log.js'
import { createConnections } from '../protocols/http.js'
import { createRandom } from '../random.js'
import { runServer } from './command-line.js'

/** Connections to the store and the platform's API: watches wait on theirs. */
const PLATFORM_CONNECTIONS = 16

runServer({
  name: 'hornbeamgap-gateway',
  description: 'Run a gateway node',
  schema: machineSettingsSchema,
  ...(process.env[SETTINGS_VARIABLE] === undefined ? {} : { defaultSettings: process.env[SETTINGS_VARIABLE] }),
  start: async (settings) => {
    const clock = createSystemClock()
    const log = createLog(settings.name, 'info', clock.wall, (line) => { process.stdout.write(line + '\n') })
    const connections = createConnections(PLATFORM_CONNECTIONS)
    const platform = createPlatform(settings, connections)
    const node = await startGatewayNode({ settings, platform, clock, random: createRandom(process.pid ^ clock.wall()), log })
    return async () => {
      await node.stop()
      await connections.destroy()
    }
  }
})
