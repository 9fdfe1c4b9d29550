#!/usr/bin/env node
/** Command `hornbeamgap-stand-ins`: runs stand-ins of a platform and its upstreams, for trials of the real binaries. */
import { runServer } from '../../src/bin/command-line.js'
import { createSystemClock } from '../../src/clock.js'
import { createRandom } from '../../src/random.js'
import { serveControl } from '../control.js'
import { startPlatform } from '../platform.js'
import type { Platform } from '../platform.js'
import { platformSampleSchema } from '../platform-sample.js'

const DEFAULT_SEED = 1

runServer({
  name: 'hornbeamgap-stand-ins',
  description: 'Run stand-ins of a platform and its upstreams',
  schema: platformSampleSchema,
  addOptions: (command) => command.option('--seed <seed>', 'Seed of the random numbers', { default: DEFAULT_SEED }),
  start: async (sample, options) => {
    const clock = createSystemClock()
    const platform = await startPlatform({ clock, random: createRandom(Number(options.seed)), sample })
    const control = await serveControl({ port: sample.ports.control, platform, clock })
    process.stdout.write(`${describe(platform)}control         ${control.address}\n`)
    return async () => {
      await Promise.all([control.kill(), platform.kill()])
    }
  }
})

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
