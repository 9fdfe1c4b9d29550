/**
 * Simulates waves of reclaims in virtual time against the planned sizes. Each wave takes all reclaimable upstreams of a
 * failure domain, and the platform has none for a while afterwards.
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { planPools } from '../../src/scaling/index.js'
import type { PoolSize, PresentUpstream } from '../../src/scaling/index.js'

const BOOT = 4 * SECOND
const STEP: Milliseconds = 400
const RECLAIMABLE_PRICE = 0.18

/** Reclaim of all reclaimable upstreams of a failure domain. The platform has none for `unavailableFor` afterwards. */
interface Wave {
  readonly at: Milliseconds
  readonly domain: number
  readonly unavailableFor: Milliseconds
}

interface Upstream {
  readonly failureDomain: string
  readonly reclaimable: boolean
  readonly servesFrom: Milliseconds
}

interface Outcome {
  /** Minimum number of upstreams that served at any time, relative to the load. */
  readonly minServing: number
  /** Mean price per second, relative to the load. */
  readonly price: number
}

function simulate (domains: number, load: number, waves: readonly Wave[], length: Milliseconds): Outcome {
  const failureDomains = Array.from({ length: domains }, (_, index) => `domain-${index}`)
  const facts = { minUpstreams: 1, maxUpstreams: 50, bootTime: BOOT, reclaimablePrice: RECLAIMABLE_PRICE, prices: {} }
  let upstreams: Upstream[] = []
  let unavailableUntil = -Infinity
  let lowest = Infinity
  let paid = 0
  for (let now = 0; now < length; now += STEP) {
    for (const wave of waves.filter(({ at }) => at >= now && at < now + STEP)) {
      upstreams = upstreams.filter(({ reclaimable, failureDomain }) => !reclaimable || failureDomain !== `domain-${wave.domain}`)
      unavailableUntil = Math.max(unavailableUntil, now + wave.unavailableFor)
    }
    const present: PresentUpstream[] = upstreams.filter(({ servesFrom }) => servesFrom <= now).map(({ failureDomain, reclaimable }) => ({ failureDomain, reclaimable, leaving: false }))
    for (const size of planPools({ facts, failureDomains, present, load, assumeReclaimableRunning: false, unavailableUntil: () => 0, now })) {
      if (!size.reclaimable || now >= unavailableUntil) upstreams = resize(upstreams, size, now)
    }
    if (now >= 2 * BOOT) lowest = Math.min(lowest, present.length / load)
    paid += upstreams.reduce((sum, { reclaimable }) => sum + (reclaimable ? RECLAIMABLE_PRICE : 1), 0) * STEP
  }
  return { minServing: lowest, price: paid / length / load }
}

function resize (upstreams: readonly Upstream[], { failureDomain, reclaimable, desired }: PoolSize, now: Milliseconds): Upstream[] {
  const others = upstreams.filter((upstream) => upstream.failureDomain !== failureDomain || upstream.reclaimable !== reclaimable)
  const pool = upstreams.filter((upstream) => !others.includes(upstream)).slice(0, desired)
  while (pool.length < desired) pool.push({ failureDomain, reclaimable, servesFrom: now + BOOT })
  return [...others, ...pool]
}

describe('waves of reclaims', () => {
  // Three waves, six seconds apart, reclaim one failure domain each, and the platform has no reclaimable upstreams
  // meanwhile. If fewer upstreams than the load remain at any time, short requests wait for seconds. On-demand upstreams
  // for the whole load would cost twice as much.
  for (const domains of [2, 3, 4, 5]) {
    it(`leave enough upstreams for the load at any time, at low cost without waves (${domains} failure domains)`, () => {
      const waves = Array.from({ length: Math.min(3, domains) }, (_, index): Wave => ({ at: 20 * SECOND + index * 6 * SECOND, domain: index, unavailableFor: 13 * SECOND }))
      const { minServing } = simulate(domains, 10, waves, 60 * SECOND)
      assert.ok(minServing >= 1, `${minServing}`)
      const calm = simulate(domains, 10, [], 60 * SECOND)
      assert.ok(calm.price < 1.1, `${calm.price}`)
    })
  }

  // Two waves within a second, as after the failure of two failure domains. No replacement has booted in between.
  it('leave enough upstreams if two of five failure domains are reclaimed at once', () => {
    const waves: Wave[] = [{ at: 20 * SECOND, domain: 0, unavailableFor: 9 * SECOND }, { at: 20_800, domain: 1, unavailableFor: 9 * SECOND }]
    assert.ok(simulate(5, 10, waves, 60 * SECOND).minServing >= 1)
  })
})
