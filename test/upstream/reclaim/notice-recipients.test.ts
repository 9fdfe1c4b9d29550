import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { failureDomainSchema, incarnationSchema } from '../../../src/identifiers.js'
import type { Incarnation } from '../../../src/identifiers.js'
import { pollersOf, noticeRecipients } from '../../../src/upstream/reclaim/index.js'
import type { NoticeNode } from '../../../src/upstream/reclaim/index.js'

function nodesOf (count: number, domains: number): NoticeNode[] {
  return Array.from({ length: count }, (_, index) => ({
    incarnation: incarnationSchema.parse(`entry-${index}`),
    failureDomain: failureDomainSchema.parse(`zone-${index % domains}`),
    leaving: false
  }))
}

function membersOf (nodes: readonly NoticeNode[], node: NoticeNode): number {
  return nodes.filter((other) => other.failureDomain === node.failureDomain).length
}

/** Forwards a notice until no node forwards it any more. Dead nodes receive nothing. */
function propagate (nodes: readonly NoticeNode[], origin: NoticeNode, dead: ReadonlySet<Incarnation>): { told: Set<Incarnation>, messages: number, steps: number } {
  const told = new Set([origin.incarnation])
  let messages = 0
  let steps = 0
  let hop: { node: NoticeNode, from: Incarnation | undefined }[] = [{ node: origin, from: undefined }]
  while (hop.length > 0) {
    const next: typeof hop = []
    for (const { node, from } of hop) {
      for (const recipient of noticeRecipients(node, from, nodes)) {
        messages += 1
        if (dead.has(recipient.incarnation) || told.has(recipient.incarnation)) continue
        told.add(recipient.incarnation)
        next.push({ node: recipient, from: node.incarnation })
      }
    }
    hop = next
    steps += Number(next.length > 0)
  }
  return { told, messages, steps }
}

// Visible effect: requests are sent to an engine that another node knows to be leaving. Any node may learn of it
// first, and up to two pollers of every failure domain are dead but still listed.
test('every living node receives a notice within three hops, whichever node learns of it first', () => {
  fc.assert(fc.property(fc.integer({ min: 2, max: 120 }), fc.integer({ min: 1, max: 5 }), fc.nat(), fc.nat(2), (count, domains, pick, deadPollers) => {
    const nodes = nodesOf(count, domains)
    const origin = nodes[pick % count] as NoticeNode
    const dead = new Set(nodes.flatMap((node) => pollersOf(nodes, node.failureDomain).slice(0, deadPollers)).map((node) => node.incarnation))
    dead.delete(origin.incarnation)
    const living = nodes.filter((node) => !dead.has(node.incarnation) && membersOf(nodes, node) > deadPollers)
    const { told, steps } = propagate(nodes, origin, dead)
    for (const node of living) assert.ok(told.has(node.incarnation), `${node.incarnation} did not receive the notice`)
    assert.ok(steps <= 3)
  }), { seed: 1, numRuns: 200 })
})

test('no node sends to more than its failure domain and the pollers of the others', () => {
  const nodes = nodesOf(370, 5)
  for (const node of nodes) assert.ok(noticeRecipients(node, undefined, nodes).length <= 74 + 4 * 3)
})

test('adding a node changes at most one poller', () => {
  const before = pollersOf(nodesOf(40, 1), failureDomainSchema.parse('zone-0')).map((node) => node.incarnation)
  const after = pollersOf(nodesOf(41, 1), failureDomainSchema.parse('zone-0')).map((node) => node.incarnation)
  assert.ok(before.filter((incarnation) => !after.includes(incarnation)).length <= 1)
})

test('a leaving node does not poll the cloud while other nodes can', () => {
  const nodes = nodesOf(6, 1)
  const first = pollersOf(nodes, failureDomainSchema.parse('zone-0'))[0] as NoticeNode
  const changed = nodes.map((node) => (node.incarnation === first.incarnation ? { ...node, leaving: true } : node))
  assert.ok(!pollersOf(changed, first.failureDomain).some((node) => node.incarnation === first.incarnation))
})
