#!/usr/bin/env -S node --max-old-space-size=192
/** `hornbeamgap-entry`: runs an entry node. */
import { createSystemClock } from '../clock.js'
import { startEntryNode } from '../entry/node.js'
import { createRandom } from '../random.js'
import { entrySettingsSchema } from '../settings.js'
import { runServer } from './command-line.js'

runServer({
  name: 'hornbeamgap-entry',
  description: 'Run an entry node',
  schema: entrySettingsSchema,
  start: async (settings) => {
    const clock = createSystemClock()
    const node = await startEntryNode({ settings, clock, random: createRandom(clock.wall()) })
    return () => node.stop()
  }
})
