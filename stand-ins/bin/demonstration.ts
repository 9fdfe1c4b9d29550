#!/usr/bin/env node
/**
 * Command of `npm start`: runs both sample deployments in one process, one after the other. The exit code
 * is 0 if each report agrees with the outcomes that its callers recorded, 1 otherwise.
 */
import { join } from 'node:path'
import { cac } from 'cac'
import { EXIT, runCommand } from '../../src/bin/command-line.js'
import { createSystemClock } from '../../src/clock.js'
import { createProcessOutput } from '../../src/operator/command/output.js'
import { ServingError } from '../../src/verdict.js'
import { VERSION } from '../../src/version.js'
import { demonstrate } from '../demonstration.js'
import type { ReclaimKind } from '../demonstration.js'

const SAMPLES = ['calcaria-lisbon', 'tsubame-kyushu']
const RECLAIMS: readonly ReclaimKind[] = ['engine', 'entry', 'failure-domain']
const DEFAULT_SEED = 1

runCommand(async () => {
  const program = cac('demonstration')
  program.command('', 'Run both sample deployments and compare their reports with what callers saw')
    .option('--samples <folder>', 'Folder of the samples', { default: 'samples' })
    .option('--seed <seed>', 'Seed of the random numbers', { default: DEFAULT_SEED })
    .option('--reclaim <kind>', 'What the cloud takes back: engine, entry or failure-domain', { default: 'engine' })
    .action(run)
  program.help()
  program.version(VERSION)
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
})

async function run (options: { samples: string, seed: number, reclaim: string }): Promise<void> {
  const reclaim = RECLAIMS.find((kind) => kind === options.reclaim)
  if (reclaim === undefined) throw new ServingError(`--reclaim must be one of ${RECLAIMS.join(', ')}`, { code: 'invalid-request', verdict: 'not-run' })
  const clock = createSystemClock()
  const output = createProcessOutput()
  const problems: string[] = []
  for (const name of SAMPLES) {
    problems.push(...await demonstrate({ folder: join(options.samples, name), clock, seed: Number(options.seed), output, reclaim }))
  }
  process.exitCode = problems.length === 0 ? EXIT.success : EXIT.failure
}
