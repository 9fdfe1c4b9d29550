import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { failureDomainSchema, incarnationSchema } from '../../../src/identifiers.js'
import type { Incarnation } from '../../../src/identifiers.js'
import { pollersOf, recipientsOf } from '../../../src/upstream/reclaim/index.js'
import type { SpreadNode } from '../../../src/upstream/reclaim/index.js'

function nodesOf (count: number, domains: number): SpreadNode[] {
  return Array.from({ length: count }, (_, index) => ({
    incarnation: incarnationSchema.parse(`entry-${index}`),
    failureDomain: failureDomainSchema.parse(`zone-${index % domains}`),
    leaving: false
  }))
}

function membersOf (nodes: readonly SpreadNode[], node: SpreadNode): number {
  return nodes.filter((other) => other.failureDomain === node.failureDomain).length
}

/** Passes a notice on until nobody tells anybody new; dead nodes receive nothing. */
function flood (nodes: readonly SpreadNode[], origin: SpreadNode, dead: ReadonlySet<Incarnation>): { told: Set<Incarnation>, messages: number, steps: number } {
  const told = new Set([origin.incarnation])
  let messages = 0
  let steps = 0
  let wave: { node: SpreadNode, from: Incarnation | undefined }[] = [{ node: origin, from: undefined }]
  while (wave.length > 0) {
    const next: typeof wave = []
    for (const { node, from } of wave) {
      for (const recipient of recipientsOf(node, from, nodes)) {
        messages += 1
        if (dead.has(recipient.incarnation) || told.has(recipient.incarnation)) continue
        told.add(recipient.incarnation)
        next.push({ node: recipient, from: node.incarnation })
      }
    }
    wave = next
    steps += Number(next.length > 0)
  }
  return { told, messages, steps }
}

// A user would see requests sent to an engine that a node two rooms away knew to be leaving.
// The first hearer is any node; two askers of every failure domain are dead and still listed.
test('whoever hears first, every living node is told within three steps', () => {
  fc.assert(fc.property(fc.integer({ min: 2, max: 120 }), fc.integer({ min: 1, max: 5 }), fc.nat(), fc.nat(2), (count, domains, pick, deadPollers) => {
    const nodes = nodesOf(count, domains)
    const origin = nodes[pick % count] as SpreadNode
    const dead = new Set(nodes.flatMap((node) => pollersOf(nodes, node.failureDomain).slice(0, deadPollers)).map((node) => node.incarnation))
    dead.delete(origin.incarnation)
    const living = nodes.filter((node) => !dead.has(node.incarnation) && membersOf(nodes, node) > deadPollers)
    const { told, steps } = flood(nodes, origin, dead)
    for (const node of living) assert.ok(told.has(node.incarnation), `${node.incarnation} was not told`)
    assert.ok(steps <= 3)
  }), { seed: 1, numRuns: 200 })
})

test('no node tells more than its failure domain and the askers of the others', () => {
  const nodes = nodesOf(370, 5)
  for (const node of nodes) assert.ok(recipientsOf(node, undefined, nodes).length <= 74 + 4 * 3)
})

test('one more node changes at most one asker', () => {
  const before = pollersOf(nodesOf(40, 1), failureDomainSchema.parse('zone-0')).map((node) => node.incarnation)
  const after = pollersOf(nodesOf(41, 1), failureDomainSchema.parse('zone-0')).map((node) => node.incarnation)
  assert.ok(before.filter((incarnation) => !after.includes(incarnation)).length <= 1)
})

test('a leaving node does not ask the cloud while others can', () => {
  const nodes = nodesOf(6, 1)
  const first = pollersOf(nodes, failureDomainSchema.parse('zone-0'))[0] as SpreadNode
  const changed = nodes.map((node) => (node.incarnation === first.incarnation ? { ...node, leaving: true } : node))
  assert.ok(!pollersOf(changed, first.failureDomain).some((node) => node.incarnation === first.incarnation))
})
