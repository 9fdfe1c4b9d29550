#!/usr/bin/env node
/** `hornbeamgap-stand-ins`: a platform and its upstreams as stand-ins, for trying the real binaries. */
import { cac } from 'cac'
import { onStopSignal, runCommand } from '../../src/bin/command-line.js'
import { createSystemClock } from '../../src/clock.js'
import { createRandom } from '../../src/random.js'
import { loadSettings } from '../../src/settings.js'
import { ServingError } from '../../src/verdict.js'
import { VERSION } from '../../src/version.js'
import { serveControl } from '../control.js'
import { startPlatform } from '../platform.js'
import type { Platform } from '../platform.js'
import { platformSampleSchema } from '../platform-sample.js'

const DEFAULT_SEED = 1

runCommand(async () => {
  const program = cac('hornbeamgap-stand-ins')
  program.command('', 'Run stand-ins of a platform and its upstreams')
    .option('--settings <file>', 'TOML description of the platform')
    .option('--seed <seed>', 'Seed of the random numbers', { default: DEFAULT_SEED })
    .option('--check', 'Check the description and exit')
    .action(start)
  program.help()
  program.version(VERSION)
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
})

async function start (options: { settings?: string, seed: number, check?: boolean }): Promise<void> {
  if (options.settings === undefined) throw new ServingError('--settings <file> is required', { code: 'invalid-request', verdict: 'not-run' })
  const sample = loadSettings(platformSampleSchema, options.settings)
  if (options.check) return
  const clock = createSystemClock()
  const platform = await startPlatform({ clock, random: createRandom(Number(options.seed)), sample })
  const control = await serveControl({ port: sample.ports.control, platform, clock })
  process.stdout.write(`${describe(platform)}control         ${control.address}\n`)
  onStopSignal(async () => {
    await Promise.all([control.kill(), platform.kill()])
  })
}

function describe ({ keyValue, instanceList, cloud, weightStore, fleet }: Platform): string {
  return [
    `key-value       ${keyValue.address}`,
    `instance list   ${instanceList.address}`,
    `cloud           ${cloud.address}`,
    `weight store    ${weightStore.address}`,
    `engines         ${fleet.engines().map((engine) => engine.address).join(' ')}`,
    `plain services  ${fleet.plainServices().map((service) => service.address).join(' ')}`,
    ''
  ].join('\n')
}
