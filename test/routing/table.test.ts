import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRandom } from '../../src/random.js'
import { chooseService, createRouteTable, supersedes } from '../../src/routing/index.js'
import type { Route, RoutingConfiguration } from '../../src/routing/index.js'
import { routeTo } from '../placement/records.js'

const route = (name: string, prefix: string, more: Partial<Route> = {}): Route => routeTo('s', { name, prefix, ...more })

const configuration = (routes: Route[], more: Partial<RoutingConfiguration> = {}): RoutingConfiguration => ({
  version: 1, routes, services: [], organisations: undefined, limits: { headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1 }, ...more
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

  it('finds what a search through all prefixes finds', () => {
    const segment = fc.constantFrom('a', 'b', 'ab')
    const path = fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('/')}`)
    fc.assert(fc.property(fc.uniqueArray(path.map((text) => text === '/' ? '/' : `${text}/`), { minLength: 1, maxLength: 8 }), path, (prefixes, asked) => {
      const found = createRouteTable(configuration(prefixes.map((prefix) => route(prefix, prefix)))).route('api.example', asked)?.name
      const expected = prefixes.filter((prefix) => asked.startsWith(prefix)).sort((left, right) => right.length - left.length)[0]
      assert.equal(found, expected)
    }))
  })

  it('knows an organisation by each of its keys', () => {
    const organisation = { name: 'tejo', keys: ['k1', 'k2'], priority: undefined, quota: { unit: 'tokens' as const, rate: 0, burst: 0, plainCost: 1 } }
    const keyed = createRouteTable(configuration([], { organisations: [organisation] }))
    assert.equal(keyed.organisation('k2')?.name, 'tejo')
    assert.equal(keyed.organisation('k3'), undefined)
    assert.equal(keyed.needsKeys, true)
    assert.equal(table.needsKeys, false)
  })
})

describe('a configuration version', () => {
  // A caller whose key was added gets 401 again: the store's late answer to an older reading, or a peer that
  // is behind, brings the configuration before back.
  it('is only replaced by a higher one, in whatever order versions arrive', () => {
    fc.assert(fc.property(fc.array(fc.nat(20)), (versions) => {
      let inForce: number | undefined
      for (const version of versions) {
        if (!supersedes(version, inForce)) continue
        assert.ok(inForce === undefined || version > inForce)
        inForce = version
      }
      assert.equal(inForce, versions.length === 0 ? undefined : Math.max(...versions))
    }))
  })
})

describe('a split route', () => {
  it('gives each service its part', () => {
    const split = route('r', '/', { destinations: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }, { service: 'none', weight: 0 }] })
    const random = createRandom(1)
    const drawn = Array.from({ length: 2_000 }, () => chooseService(split, random))
    const part = drawn.filter((service) => service === 'b').length / drawn.length
    assert.ok(part > 0.08 && part < 0.12, `${part}`)
    assert.ok(!drawn.includes('none'))
  })

  it('has no service without destinations', () => {
    assert.equal(chooseService(route('r', '/', { destinations: [] }), createRandom(1)), undefined)
  })
})
