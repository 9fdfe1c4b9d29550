#!/usr/bin/env node
/** `hornbeamgap-planner`: buys and gives back capacity, orders engines, folds reports. */
import { cac } from 'cac'
import { createSystemClock } from '../clock.js'
import { startPlanner } from '../planner/planner.js'
import { plannerSettingsSchema } from '../planner/settings.js'
import { createRandom } from '../random.js'
import { loadSettings } from '../settings.js'
import { ServingError } from '../verdict.js'
import { VERSION } from '../version.js'
import { onStopSignal, runCommand } from './command-line.js'

runCommand(async () => {
  const program = cac('hornbeamgap-planner')
  program.command('', 'Run a planner')
    .option('--settings <file>', 'TOML settings file')
    .option('--check', 'Check the settings and exit')
    .action(start)
  program.help()
  program.version(VERSION)
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
})

async function start (options: { settings?: string, check?: boolean }): Promise<void> {
  if (options.settings === undefined) throw new ServingError('--settings <file> is required', { code: 'invalid-request', verdict: 'not-run' })
  const settings = loadSettings(plannerSettingsSchema, options.settings)
  if (options.check) return
  const clock = createSystemClock()
  const planner = startPlanner({ settings, clock, random: createRandom(clock.wall()) })
  onStopSignal(() => planner.stop())
}
