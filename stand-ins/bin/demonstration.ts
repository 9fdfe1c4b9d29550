#!/usr/bin/env node
/**
 * `npm start`: both sample deployments in one process, one after the other. Ends with exit code 0 when
 * each report agrees with what its callers saw, 1 otherwise.
 */
import { join } from 'node:path'
import { cac } from 'cac'
import { EXIT, runCommand } from '../../src/bin/command-line.js'
import { createSystemClock } from '../../src/clock.js'
import { createProcessOutput } from '../../src/operator/command/output.js'
import { VERSION } from '../../src/version.js'
import { demonstrate } from '../demonstration.js'

const SAMPLES = ['calcaria-lisbon', 'tsubame-kyushu']
const DEFAULT_SEED = 1

runCommand(async () => {
  const program = cac('demonstration')
  program.command('', 'Run both sample deployments and compare their reports with what callers saw')
    .option('--samples <folder>', 'Folder of the samples', { default: 'samples' })
    .option('--seed <seed>', 'Seed of the random numbers', { default: DEFAULT_SEED })
    .action(run)
  program.help()
  program.version(VERSION)
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
})

async function run (options: { samples: string, seed: number }): Promise<void> {
  const clock = createSystemClock()
  const output = createProcessOutput()
  const problems: string[] = []
  for (const name of SAMPLES) {
    problems.push(...await demonstrate({ folder: join(options.samples, name), clock, seed: Number(options.seed), output }))
  }
  process.exitCode = problems.length === 0 ? EXIT.success : EXIT.failure
}
