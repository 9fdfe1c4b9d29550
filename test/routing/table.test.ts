import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRandom } from '../../src/random.js'
import { chooseService, createRouteTable, supersedes } from '../../src/routing/index.js'
import type { Route, RoutingConfiguration } from '../../src/routing/index.js'
import { routeTo } from '../placement/records.js'

const route = (name: string, prefix: string, more: Partial<Route> = {}): Route => routeTo('s', { name, prefix, ...more })

const configuration = (routes: Route[], more: Partial<RoutingConfiguration> = {}): RoutingConfiguration => ({
  version: 1, routes, services: [], organisations: undefined, limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 }, ...more
})

describe('a route table', () => {
  const table = createRouteTable(configuration([route('all', '/'), route('plans', '/plans/'), route('old', '/plans/old/')]))

  it('selects the longest prefix that begins the path', () => {
    assert.equal(table.route('api.example', '/plans/old/7')?.name, 'old')
    assert.equal(table.route('api.example', '/plans/oldest')?.name, 'plans')
    assert.equal(table.route('api.example', '/plans')?.name, 'all')
  })

  it('ignores query, port and case of the host, and nothing else', () => {
    assert.equal(table.route('API.example:8360', '/plans/?x=/plans/old/')?.name, 'plans')
    assert.equal(table.route('other.example', '/plans/'), undefined)
  })

  it('finds the same route as a search through all prefixes', () => {
    const segment = fc.constantFrom('a', 'b', 'ab')
    const path = fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`)
    fc.assert(fc.property(fc.uniqueArray(path.map((text) => text === '/' ? '/' : `${text}/`), { minLength: 1, maxLength: 8 }), path, (prefixes, requestPath) => {
      const found = createRouteTable(configuration(prefixes.map((prefix) => route(prefix, prefix)))).route('api.example', requestPath)?.name
      const expected = prefixes.filter((prefix) => requestPath.startsWith(prefix)).sort((left, right) => right.length - left.length)[0]
      assert.equal(found, expected)
    }))
  })

  it('finds an organisation by each of its keys', () => {
    const organisation = { name: 'tejo', keys: ['k1', 'k2'], priority: undefined, quota: { unit: 'tokens' as const, rate: 0, burst: 0, plainCost: 1 } }
    const keyed = createRouteTable(configuration([], { organisations: [organisation] }))
    assert.equal(keyed.organisation('k2')?.name, 'tejo')
    assert.equal(keyed.organisation('k3'), undefined)
    assert.equal(keyed.needsKeys, true)
    assert.equal(table.needsKeys, false)
  })
})

describe('a configuration version', () => {
  // Failure guarded against: the response to an earlier read of the store arrives late, or another node still has the
  // previous configuration. If that configuration were restored, a caller with a newly added key would receive 401.
  it('is only replaced by a higher one, in any order of arrival', () => {
    fc.assert(fc.property(fc.array(fc.nat(20)), (versions) => {
      let currentVersion: number | undefined
      for (const version of versions) {
        if (!supersedes(version, currentVersion)) continue
        assert.ok(currentVersion === undefined || version > currentVersion)
        currentVersion = version
      }
      assert.equal(currentVersion, versions.length === 0 ? undefined : Math.max(...versions))
    }))
  })
})

describe('a split route', () => {
  it('sends each service a share of the requests in proportion to its weight', () => {
    const split = route('r', '/', { destinations: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }, { service: 'none', weight: 0 }] })
    const random = createRandom(1)
    const drawn = Array.from({ length: 2_000 }, () => chooseService(split, random))
    const fraction = drawn.filter((service) => service === 'b').length / drawn.length
    assert.ok(fraction > 0.08 && fraction < 0.12, `${fraction}`)
    assert.ok(!drawn.includes('none'))
  })

  it('selects no service if it has no destinations', () => {
    assert.equal(chooseService(route('r', '/', { destinations: [] }), createRandom(1)), undefined)
  })
})
