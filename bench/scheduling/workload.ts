/** Arrivals of a mix: who asks for what, when, about which subject and how long the answer will be. */
import type { Milliseconds } from '../../src/clock.js'
import { SECOND } from '../../src/clock.js'
import type { OrganisationName } from '../../src/identifiers.js'
import type { Random } from '../../src/random.js'
import type { EventQueue } from './event-queue.js'
import { PLAIN_TIME } from './mixes.js'
import type { ClassMix, Mix } from './mixes.js'

/** What a caller wants, however often it has to ask. */
export interface CallerRequest {
  readonly number: number
  readonly organisation: OrganisationName
  readonly classMix: ClassMix
  readonly blocks: readonly string[]
  /** Length of the answer; nobody knows it before. */
  readonly generatedTokens: number
  /** Time at a plain server. */
  readonly plainTime: Milliseconds
  readonly firstSentAt: Milliseconds
}

/** How demand deviates from the mix: 1 for none. */
export type DemandFactor = (classMix: ClassMix, organisation: OrganisationName, now: Milliseconds) => number

/** Skew of subjects: a few are asked about often. */
const SKEW = 0.9

/** Shortest pause before looking again at a flow without demand. */
const IDLE_PAUSE: Milliseconds = SECOND

/**
 * Starts the arrivals of every class and organisation; each is a Poisson process.
 *
 * @example
 * startArrivals({ events, mix, random, factor: () => 2, onRequest: send })
 */
export function startArrivals (options: { events: EventQueue, mix: Mix, random: Random, factor: DemandFactor, onRequest: (request: CallerRequest) => void }): void {
  const { events, mix, random, factor, onRequest } = options
  const weights = Array.from({ length: mix.subjects }, (_, rank) => 1 / (rank + 1) ** SKEW)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  let number = 0

  function subject (): number {
    let left = random.fraction() * total
    for (let index = 0; index < weights.length; index += 1) {
      left -= weights[index] as number
      if (left <= 0) return index
    }
    return weights.length - 1
  }

  function create (classMix: ClassMix, organisation: OrganisationName): CallerRequest {
    number += 1
    const length = classMix.shortest + (1 - classMix.shortest) * random.fraction()
    return {
      number,
      organisation,
      classMix,
      blocks: blocksOf(classMix, organisation, subject(), number),
      generatedTokens: Math.max(1, Math.round(classMix.maxTokens * length)),
      plainTime: PLAIN_TIME * (0.5 + random.fraction()),
      firstSentAt: events.now()
    }
  }

  function next (classMix: ClassMix, organisation: OrganisationName, share: number): void {
    const perSecond = classMix.rate * share * factor(classMix, organisation, events.now())
    if (perSecond <= 0) {
      events.after(IDLE_PAUSE, () => next(classMix, organisation, share))
      return
    }
    const pause = -Math.log(1 - random.fraction()) / perSecond * SECOND
    events.after(pause, () => {
      onRequest(create(classMix, organisation))
      next(classMix, organisation, share)
    })
  }

  for (const classMix of mix.classes) {
    for (const { name, share } of mix.organisations) next(classMix, name, share)
  }
}

function blocksOf (classMix: ClassMix, organisation: OrganisationName, subject: number, number: number): string[] {
  const blocks: string[] = []
  for (let index = 0; index < classMix.organisationBlocks; index += 1) blocks.push(`${organisation}/${classMix.name}/${index}`)
  for (let index = 0; index < classMix.subjectBlocks; index += 1) blocks.push(`${organisation}/${classMix.name}/${subject}/${index}`)
  for (let index = 0; index < classMix.ownBlocks; index += 1) blocks.push(`${number}/${index}`)
  return blocks
}
