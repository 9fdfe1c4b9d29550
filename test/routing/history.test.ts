import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createRouteHistory, createRouteTable } from '../../src/routing/index.js'
import type { RouteTable } from '../../src/routing/index.js'
import { routeTo } from '../placement/records.js'

const RETENTION = 30
const HOST = 'api.example'
const PATH = '/plans/7'

function tableTo (...services: readonly string[]): RouteTable {
  const routes = [routeTo('', { host: HOST, prefix: '/plans/', destinations: services.map((service) => ({ service, weight: 1 })) })]
  return createRouteTable({ version: 1, routes, services: [], organisations: undefined, limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 } })
}

describe('the history of configurations', () => {
  // Guards against streams of two services: the route was moved or split after they began.
  it('says that requests went to one service alone only while no table of the last time said otherwise', () => {
    const history = createRouteHistory(RETENTION)
    history.put(tableTo('a'), 0)
    assert.equal(history.ledOnlyTo(HOST, PATH, 'a', 10), true)
    history.put(tableTo('a', 'b'), 20)
    history.put(tableTo('b'), 21)
    assert.equal(history.ledOnlyTo(HOST, PATH, 'b', 50), false)
    assert.equal(history.ledOnlyTo(HOST, PATH, 'b', 51), false)
    assert.equal(history.ledOnlyTo(HOST, PATH, 'b', 52), true)
    assert.equal(history.ledOnlyTo(HOST, '/other', 'b', 52), false)
  })

  it('is complete once its oldest table has been in force for long enough, and not where too many have followed', () => {
    const history = createRouteHistory(RETENTION)
    assert.equal(history.isComplete(0), false)
    history.put(tableTo('a'), 0)
    assert.equal(history.isComplete(29), false)
    assert.equal(history.isComplete(30), true)
    for (let time = 31; time < 50; time += 1) history.put(tableTo('a'), time)
    assert.equal(history.isComplete(50), false)
    assert.equal(history.isComplete(90), true)
  })
})
