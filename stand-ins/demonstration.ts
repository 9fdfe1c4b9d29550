/**
 * Runs a sample deployment from start to report: an operator applies the configuration, callers send the
 * requests, the cloud reclaims instances half-way, and the report is compared with the outcomes that
 * callers saw and with the ledger of the plain services.
 */
import { join } from 'node:path'
import type { Clock } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import { applyCommand } from '../src/operator/command/change.js'
import { createOperatorClient } from '../src/operator/command/connection.js'
import type { OperatorClient } from '../src/operator/command/connection.js'
import { alignColumns } from '../src/operator/command/output.js'
import type { CommandOutput } from '../src/operator/command/output.js'
import { reportTable } from '../src/operator/command/report-table.js'
import { createRandom } from '../src/random.js'
import { reportDocumentSchema } from '../src/report/index.js'
import { groupRecords, sendRequests } from './callers.js'
import type { CallerRecord } from './callers.js'
import { findDisagreements, sumOutcomes } from './comparison.js'
import type { Platform } from './platform.js'
import { loadSample } from './sample.js'
import { startSampleDeployment } from './sample-deployment.js'
import type { SampleDeployment } from './sample-deployment.js'

/** What the cloud reclaims half-way: the busiest engine's instance, an entry node's instance, or all reclaimable instances of a failure domain. */
export type ReclaimKind = 'engine' | 'entry' | 'failure-domain'

/** Options of a demonstration. */
export interface DemonstrationOptions {
  /** Path of the sample's folder. */
  readonly folder: string
  readonly clock: Clock
  readonly seed: number
  readonly output: CommandOutput
  /** Requests started per second. Default 40. */
  readonly rate?: number
  /** Default `engine`. */
  readonly reclaim?: ReclaimKind
}

/** Requests started per second. */
const DEFAULT_RATE = 40

/** Time between the reclaim notice and the end of the instance, in milliseconds. */
const RECLAIM_NOTICE = 4 * SECOND

/**
 * Runs a sample and prints the outcomes, the report and their comparison.
 *
 * @returns all disagreements between the report, callers and plain services
 * @example
 * const problems = await demonstrate({ folder: 'samples/calcaria-lisbon', clock, seed: 1, output })
 */
export async function demonstrate (options: DemonstrationOptions): Promise<string[]> {
  const { folder, clock, seed, output } = options
  const sample = loadSample(folder)
  const deployment = await startSampleDeployment({ sample, clock, seed, logLevel: 'error' })
  const operator = createOperatorClient({ addresses: [...deployment.addresses], operator_key: sample.operatorKey })
  try {
    const domains = new Set(sample.entries.map((entry) => entry.failure_domain)).size
    output.out(`\n== ${folder}: ${deployment.entries.length} entry nodes in ${domains} failure domains, ${describeUpstreams(deployment.platform)}\n\n`)
    await deployment.settled()
    await applyCommand(operator, output, join(folder, 'configuration.toml'), { author: 'demonstration', reason: 'first configuration' })
    const from = clock.wall()
    const half = Math.floor(sample.requests.length / 2)
    const records = await sendRequests({
      sample,
      addresses: deployment.addresses,
      clock,
      random: createRandom(seed),
      rate: options.rate ?? DEFAULT_RATE,
      onSend: (sent) => { if (sent === half) startReclaim(deployment, options.reclaim ?? 'engine', output) }
    })
    output.out(`\nWhat callers saw\n\n${outcomeTable(records)}`)
    return await printReport(operator, from, clock, deployment.platform, records, output)
  } finally {
    await operator.close()
    await deployment.kill()
  }
}

async function printReport (operator: OperatorClient, from: number, clock: Clock, platform: Platform, records: readonly CallerRecord[], output: CommandOutput): Promise<string[]> {
  const document = await operator.get(`/operator/report?from=${Math.floor(from)}&to=${Math.ceil(clock.wall())}&fresh=true`, reportDocumentSchema)
  output.out(`\n${reportTable(document)}`)
  const recomputed = platform.fleet.allEngines().reduce((sum, engine) => sum + engine.tokens.recomputed, 0)
  output.out(`\nThe engines computed ${recomputed} tokens again for answers that others had begun; the report says ${document.total.recomputedTokens}.\n`)
  const problems = findDisagreements(document, records, platform.ledger)
  const orders = platform.ledger.entries().length
  const verdict = problems.length === 0 ? 'they agree' : `${problems.length} disagreements`
  output.out(`Report against ${records.length} requests of callers and ${orders} orders in the plain services' ledger: ${verdict}.\n`)
  for (const problem of problems) output.note(`DISAGREEMENT: ${problem}`)
  return problems
}

function startReclaim ({ platform, entries }: SampleDeployment, kind: ReclaimKind, output: CommandOutput): void {
  const { state } = platform.cloud
  switch (kind) {
    case 'engine': {
      const [busiest] = [...platform.fleet.engines()].sort((left, right) => right.open() - left.open())
      if (busiest === undefined) return
      output.out(`The cloud takes ${busiest.upstream} back in ${RECLAIM_NOTICE / SECOND} s; it has ${busiest.open()} open answers.\n`)
      return state.reclaim([platform.fleet.instanceOf(busiest.upstream)], RECLAIM_NOTICE)
    }
    case 'entry': {
      const member = entries[0]?.parts.membership.own()
      if (member === undefined) return
      output.out(`The cloud takes ${member.instance} back in ${RECLAIM_NOTICE / SECOND} s.\n`)
      return state.reclaim([member.instance], RECLAIM_NOTICE)
    }
    case 'failure-domain': {
      const domain = entries[0]?.parts.membership.own().failureDomain
      if (domain === undefined) return
      output.out(`The cloud takes all of ${domain} back in ${RECLAIM_NOTICE / SECOND} s.\n`)
      return state.reclaimDomain(domain, RECLAIM_NOTICE)
    }
  }
}

function describeUpstreams (platform: Platform): string {
  return `${platform.fleet.engines().length} engines, ${platform.fleet.plainServices().length} plain services`
}

function outcomeTable (records: readonly CallerRecord[]): string {
  const rows = groupRecords(records).map((group) => {
    const outcomes = sumOutcomes(group.records)
    return [group.class, group.organisation, ...[outcomes.sent, outcomes.answered, outcomes.refused, outcomes.uncertain, outcomes.wrong].map(String)]
  })
  return alignColumns(['class', 'organisation', 'sent', 'answered', 'refused', 'uncertain', 'wrong'], rows)
}
