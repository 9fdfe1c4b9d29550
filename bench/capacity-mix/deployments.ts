/** Seeded inputs of the capacity benchmark: what the cloud sells, who takes back how often, and demand. */
import { offerSchema } from '../../src/capacity/index.js'
import type { Offer } from '../../src/capacity/index.js'
import { configurationSchema } from '../../src/configuration/index.js'
import type { Configuration } from '../../src/configuration/index.js'
import { HOUR } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { failureDomainSchema } from '../../src/identifiers.js'
import type { FailureDomain } from '../../src/identifiers.js'
import type { Random } from '../../src/random.js'

/** A machine class: what it serves, and its on-demand price. */
export interface MachineClass {
  readonly name: string
  readonly tokensPerSecond: number
  readonly pricePerHour: number
}

/** A failure domain's market. */
export interface Zone {
  readonly failureDomain: FailureDomain
  /** Price of reclaimable machines as a share of the on-demand price, before it varies. */
  readonly discount: number
  /** Reclaims of single instances an hour. */
  readonly reclaimsPerHour: number
  /** Waves that take all reclaimable instances, an hour. */
  readonly wavesPerHour: number
}

/** One deployment of the brief. */
export interface BenchDeployment {
  readonly name: string
  readonly configuration: Configuration
  readonly zones: readonly Zone[]
  readonly machineClasses: readonly MachineClass[]
  /** Tokens a second at the day's peak. */
  readonly peak: number
  readonly answerTokens: number
  readonly promptTokens: number
  /** Time an answer takes. */
  readonly answerTime: Milliseconds
}

const MACHINE_CLASSES: readonly MachineClass[] = [
  { name: 'small', tokensPerSecond: 400, pricePerHour: 1.5 },
  { name: 'medium', tokensPerSecond: 900, pricePerHour: 2.6 },
  { name: 'large', tokensPerSecond: 1_900, pricePerHour: 6 }
]

/** The cheaper a zone, the more often it takes back. */
const ZONE_FACTS = [
  { discount: 0.45, reclaimsPerHour: 0.01, wavesPerHour: 1 / 96 },
  { discount: 0.38, reclaimsPerHour: 0.03, wavesPerHour: 1 / 48 },
  { discount: 0.30, reclaimsPerHour: 0.1, wavesPerHour: 1 / 16 }
]

const PRICE_SWING = 0.2
const ZONE_SWING = 0.25
const DEMAND_NOISE = 0.05
const NIGHT_SHARE = 0.3

/** Weighs cost more: its cost target is tight, the one for recomputed tokens is loose. */
export const calcaria: BenchDeployment = {
  name: 'Calcária',
  configuration: configurationOf('Calcária', { cost: 1, recomputed: 20 }),
  zones: zonesOf('lisbon'),
  machineClasses: MACHINE_CLASSES,
  peak: 9_600,
  answerTokens: 250,
  promptTokens: 900,
  answerTime: 9_000
}

/** Weighs recomputed tokens more: long plans, a tight target for what is computed again. */
export const tsubame: BenchDeployment = {
  name: 'Tsubame',
  configuration: configurationOf('Tsubame', { cost: 6, recomputed: 0.4 }),
  zones: zonesOf('kyushu'),
  machineClasses: MACHINE_CLASSES,
  peak: 4_400,
  answerTokens: 600,
  promptTokens: 1_500,
  answerTime: 20_000
}

/** Offers of a moment; prices of reclaimable machines wander around each zone's own level. */
export interface Market {
  offers (): Offer[]
  /** Lets prices wander for one step. */
  step (): void
}

/**
 * @param random decides each zone's level and how prices wander
 * @example
 * const market = createMarket(calcaria, createRandom(1))
 */
export function createMarket (deployment: BenchDeployment, random: Random): Market {
  const cells = deployment.zones.flatMap((zone) => deployment.machineClasses.map((machineClass) =>
    ({ zone, machineClass, level: 1 + ZONE_SWING * (2 * random.fraction() - 1), swing: 0 })))
  return {
    step: () => {
      for (const cell of cells) cell.swing = Math.max(-PRICE_SWING, Math.min(PRICE_SWING, cell.swing * 0.995 + 0.01 * (2 * random.fraction() - 1)))
    },
    offers: () => cells.flatMap(({ zone, machineClass, level, swing }) => {
      const common = { failureDomain: zone.failureDomain, machineClass: machineClass.name }
      return [
        offerSchema.parse({ ...common, market: 'reclaimable', pricePerHour: machineClass.pricePerHour * Math.min(0.9, zone.discount * level * (1 + swing)) }),
        offerSchema.parse({ ...common, market: 'on-demand', pricePerHour: machineClass.pricePerHour })
      ]
    })
  }
}

/**
 * Tokens a second that callers ask for: a day's curve with noise.
 *
 * @example
 * const tokensPerSecond = demandAt(calcaria, 12 * HOUR, random)
 */
export function demandAt (deployment: BenchDeployment, time: Milliseconds, random: Random): number {
  const day = (1 - Math.cos(2 * Math.PI * (time % (24 * HOUR)) / (24 * HOUR))) / 2
  const level = NIGHT_SHARE + (1 - NIGHT_SHARE) * day
  return deployment.peak * level * (1 + DEMAND_NOISE * (2 * random.fraction() - 1))
}

function zonesOf (region: string): Zone[] {
  return ZONE_FACTS.map((facts, index) => ({ ...facts, failureDomain: failureDomainSchema.parse(`${region}-${'abc'[index]}`) }))
}

function configurationOf (name: string, target: { cost: number, recomputed: number }): Configuration {
  return configurationSchema.parse({
    deployment: { name, target: { cost_per_thousand_answers: target.cost, recomputed_per_thousand_tokens: target.recomputed } },
    services: [{ kind: 'model', name: 'plans', model: 'model-1' }],
    organisations: [{ name: 'one', key_sha256: ['0'.repeat(64)] }],
    classes: [{ name: 'plan', service: 'plans', idempotent: true, target: { whole_answer_ms: 30_000, quantile: 0.95, reliability: 0.995 } }]
  })
}
