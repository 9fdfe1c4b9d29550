#!/usr/bin/env node
/** `hornbeamgap-planner`: runs a planner, which acquires and releases capacity, orders engines and aggregates reports. */
import { createSystemClock } from '../clock.js'
import { startPlanner } from '../planner/planner.js'
import { plannerSettingsSchema } from '../planner/settings.js'
import { createRandom } from '../random.js'
import { runServer } from './command-line.js'

runServer({
  name: 'hornbeamgap-planner',
  description: 'Run a planner',
  schema: plannerSettingsSchema,
  start: async (settings) => {
    const clock = createSystemClock()
    const planner = startPlanner({ settings, clock, random: createRandom(clock.wall()) })
    return () => planner.stop()
  }
})
