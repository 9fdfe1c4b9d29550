#!/usr/bin/env node
/** `hornbeamgap-entry`: an entry node. */
import { cac } from 'cac'
import { createSystemClock } from '../clock.js'
import { startEntryNode } from '../entry/node.js'
import { createRandom } from '../random.js'
import { entrySettingsSchema, loadSettings } from '../settings.js'
import { ServingError } from '../verdict.js'
import { VERSION } from '../version.js'
import { onStopSignal, runCommand } from './command-line.js'

runCommand(async () => {
  const program = cac('hornbeamgap-entry')
  program.command('', 'Run an entry node')
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
  const settings = loadSettings(entrySettingsSchema, options.settings)
  if (options.check) return
  const clock = createSystemClock()
  const node = await startEntryNode({ settings, clock, random: createRandom(clock.wall()) })
  onStopSignal(() => node.stop())
}
