/** Waves of reclaims against the planned sizes, replayed in virtual time: one failure domain at a time, then a dry spell. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { planPools } from '../../src/scaling/index.js'
import type { PoolSize, PresentUpstream } from '../../src/scaling/index.js'

const BOOT = 4 * SECOND
const STEP: Milliseconds = 400
const RECLAIMABLE_PRICE = 0.18

/** At these times all reclaimable upstreams of a domain are taken back, and none are to be had for a while. */
interface Wave {
  readonly at: Milliseconds
  readonly domain: number
  readonly dryFor: Milliseconds
}

interface Upstream {
  readonly failureDomain: string
  readonly reclaimable: boolean
  readonly servesFrom: Milliseconds
}

interface Outcome {
  /** Fewest that served at any time, as a part of the load. */
  readonly least: number
  /** Mean price a second, as a part of the load. */
  readonly price: number
}

function play (domains: number, load: number, waves: readonly Wave[], length: Milliseconds): Outcome {
  const failureDomains = Array.from({ length: domains }, (_, index) => `domain-${index}`)
  const facts = { least: 1, most: 50, bootTime: BOOT, reclaimablePrice: RECLAIMABLE_PRICE, prices: {} }
  let upstreams: Upstream[] = []
  let dryUntil = -Infinity
  let least = Infinity
  let paid = 0
  for (let now = 0; now < length; now += STEP) {
    for (const wave of waves.filter(({ at }) => at >= now && at < now + STEP)) {
      upstreams = upstreams.filter(({ reclaimable, failureDomain }) => !reclaimable || failureDomain !== `domain-${wave.domain}`)
      dryUntil = Math.max(dryUntil, now + wave.dryFor)
    }
    const present: PresentUpstream[] = upstreams.filter(({ servesFrom }) => servesFrom <= now).map(({ failureDomain, reclaimable }) => ({ failureDomain, reclaimable, leaving: false }))
    for (const size of planPools({ facts, failureDomains, present, load, awaitReclaimable: false, refusedUntil: () => 0, now })) {
      if (!size.reclaimable || now >= dryUntil) upstreams = resize(upstreams, size, now)
    }
    if (now >= 2 * BOOT) least = Math.min(least, present.length / load)
    paid += upstreams.reduce((sum, { reclaimable }) => sum + (reclaimable ? RECLAIMABLE_PRICE : 1), 0) * STEP
  }
  return { least, price: paid / length / load }
}

function resize (upstreams: readonly Upstream[], { failureDomain, reclaimable, desired }: PoolSize, now: Milliseconds): Upstream[] {
  const others = upstreams.filter((one) => one.failureDomain !== failureDomain || one.reclaimable !== reclaimable)
  const pool = upstreams.filter((one) => !others.includes(one)).slice(0, desired)
  while (pool.length < desired) pool.push({ failureDomain, reclaimable, servesFrom: now + BOOT })
  return [...others, ...pool]
}

describe('waves of reclaims', () => {
  // Three waves take a failure domain each, six seconds apart, and none can be had meanwhile. Questions wait for
  // seconds where less than the load is left at any moment; lasting upstreams for all of it cost twice as much.
  for (const domains of [2, 3, 4, 5]) {
    it(`leave enough for the load at any moment, at little cost on calm ones (${domains} failure domains)`, () => {
      const waves = Array.from({ length: Math.min(3, domains) }, (_, index): Wave => ({ at: 20 * SECOND + index * 6 * SECOND, domain: index, dryFor: 13 * SECOND }))
      const { least } = play(domains, 10, waves, 60 * SECOND)
      assert.ok(least >= 1, `${least}`)
      const calm = play(domains, 10, [], 60 * SECOND)
      assert.ok(calm.price < 1.1, `${calm.price}`)
    })
  }

  // Two waves come within a second, as after a failure of two failure domains, before anything else has booted.
  it('leave enough where two of five failure domains are taken at once', () => {
    const waves: Wave[] = [{ at: 20 * SECOND, domain: 0, dryFor: 9 * SECOND }, { at: 20_800, domain: 1, dryFor: 9 * SECOND }]
    assert.ok(play(5, 10, waves, 60 * SECOND).least >= 1)
  })
})
