/**
 * `npm run bench -- reclaim-notices`: time until every node gives a leaving upstream nothing new, and
 * what that costs, with N copies of the decision in one process and the instance list of no help.
 */
import type { Milliseconds } from '../src/clock.js'
import { MINUTE, SECOND } from '../src/clock.js'
import { addressSchema, failureDomainSchema, incarnationSchema, instanceNameSchema } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import type { Random } from '../src/random.js'
import { createLeavingView, noticeFromMessage, pollersOf, noticeRecipients } from '../src/upstream/reclaim/index.js'
import type { LeavingView, Notice, NoticeMessage, NoticeNode } from '../src/upstream/reclaim/index.js'
import { createEventQueue } from './scheduling/event-queue.js'
import type { Bench, Table } from './table.js'

const SIZES = [8, 40, 100, 370]
const RECLAIMS = 100
/** Fewer of the large ones: each takes 370 x 120 notices. */
const DOMAIN_RECLAIMS = 20
const POLL_PERIOD: Milliseconds = SECOND / 2
const CLOUD_TIME: Milliseconds = 20
const NEAR: Milliseconds = 1
/** Between two regions; every second failure domain lies in the other one. */
const FAR: Milliseconds = 20
/** Bound after which a message is sent once more on a new connection. */
const RESEND: Milliseconds = SECOND
const NOTICE: Milliseconds = 10 * SECOND

/** Upstreams for each node of the target size, and the share of them in one failure domain. */
const UPSTREAMS_PER_NODE = 600 / 370

type Fault = 'none' | 'two askers of each domain dead' | '5 % of messages lost'

const FAULTS: readonly Fault[] = ['none', 'two askers of each domain dead', '5 % of messages lost']

interface Outcome {
  readonly last: Milliseconds
  readonly messages: number
  readonly bytes: number
  readonly mostBytes: number
  readonly untold: number
}

/** Time until no node gives a leaving upstream new work, by number of nodes. */
export const bench: Bench = {
  name: 'reclaim-notices',
  description: 'time until a leaving upstream gets nothing new, calls and bytes, with 8 to 370 copies',
  run: ({ seed }) => [spreadTable(seed, 1), spreadTable(seed, undefined)]
}

/** @param leaving instances in the notice; undefined: all of a failure domain */
function spreadTable (seed: number, leaving: number | undefined): Table {
  const rows = SIZES.flatMap((size) => FAULTS.map((fault) => spreadRow(size, fault, leaving ?? domainOf(size), seed)))
  return {
    title: leaving === 1 ? 'One instance is taken back' : 'A failure domain is taken back in one notice',
    columns: ['nodes', 'instances', 'fault', 'median ms', 'longest ms', 'not told', 'messages', 'KB in all', 'most KB of one node', 'cloud calls/s', 'calls/s if all ask each second'],
    rows
  }
}

function domainOf (size: number): number {
  return Math.max(1, Math.round(size * UPSTREAMS_PER_NODE / domainsOf(size)))
}

function domainsOf (size: number): number {
  return size > 100 ? 5 : 3
}

function spreadRow (size: number, fault: Fault, leaving: number, seed: number): (string | number)[] {
  const nodes = createNodes(size)
  const outcomes = Array.from({ length: leaving === 1 ? RECLAIMS : DOMAIN_RECLAIMS }, (_, index) => spread(nodes, fault, leaving, createRandom(seed * 1_000 + index)))
  const last = outcomes.map((outcome) => outcome.last).sort((left, right) => left - right)
  const mean = (pick: (outcome: Outcome) => number): number => outcomes.reduce((sum, outcome) => sum + pick(outcome), 0) / outcomes.length
  const askers = new Set(nodes.map((node) => node.failureDomain)).size * Math.min(3, size / domainsOf(size))
  return [
    size, leaving, fault,
    Math.round(last[Math.floor(last.length / 2)] ?? 0),
    Math.round(last.at(-1) ?? 0),
    outcomes.reduce((sum, outcome) => sum + outcome.untold, 0),
    Math.round(mean((outcome) => outcome.messages)),
    (mean((outcome) => outcome.bytes) / 1_000).toFixed(1),
    (Math.max(...outcomes.map((outcome) => outcome.mostBytes)) / 1_000).toFixed(1),
    Math.round(askers * SECOND / POLL_PERIOD),
    size
  ]
}

function createNodes (size: number): readonly NoticeNode[] {
  return Array.from({ length: size }, (_, index) => ({
    incarnation: incarnationSchema.parse(`entry-${index}-0123456789ab`),
    failureDomain: failureDomainSchema.parse(`zone-${index % domainsOf(size)}`),
    leaving: false
  }))
}

/** One reclaim at time 0; every asker's questions fall at a time of its own. */
function spread (nodes: readonly NoticeNode[], fault: Fault, leaving: number, random: Random): Outcome {
  const queue = createEventQueue()
  const views = new Map<NoticeNode, LeavingView>(nodes.map((node) => [node, createLeavingView()]))
  const dead = new Set(fault === 'two askers of each domain dead' ? nodes.flatMap((node) => pollersOf(nodes, node.failureDomain).slice(0, 2)) : [])
  const toldAt = new Map<NoticeNode, Milliseconds>()
  const sent = new Map<NoticeNode, number>()
  let messages = 0

  function take (node: NoticeNode, notices: readonly Notice[], from: NoticeNode | undefined): void {
    const now = queue.now()
    const view = views.get(node) as LeavingView
    const fresh = notices.filter((notice) => view.notice(notice, now))
    if (view.all().length >= leaving && !toldAt.has(node)) toldAt.set(node, now)
    if (fresh.length === 0) return
    const message = view.messages(now)
    for (const recipient of noticeRecipients(node, from?.incarnation, nodes)) send(node, recipient, message)
  }

  function send (from: NoticeNode, to: NoticeNode, message: readonly NoticeMessage[]): void {
    messages += 1
    sent.set(from, (sent.get(from) ?? 0) + JSON.stringify({ from: from.incarnation, notices: message }).length)
    const lost = fault === '5 % of messages lost' && random.integer(20) === 0
    const delay = distance(from, to) + (lost ? RESEND : 0)
    if (!dead.has(to)) queue.at(queue.now() + delay, () => take(to, message.map((one) => noticeFromMessage(one, queue.now())), from))
  }

  for (const domain of new Set(nodes.map((node) => node.failureDomain))) {
    for (const asker of pollersOf(nodes, domain)) {
      const phase = random.integer(POLL_PERIOD) + CLOUD_TIME
      if (!dead.has(asker)) queue.at(phase, () => take(asker, createNotices(leaving, queue.now()), undefined))
    }
  }
  queue.runUntil(MINUTE)
  const living = nodes.filter((node) => !dead.has(node))
  return {
    last: Math.max(...toldAt.values()),
    messages,
    bytes: [...sent.values()].reduce((sum, bytes) => sum + bytes, 0),
    mostBytes: Math.max(0, ...sent.values()),
    untold: living.filter((node) => !toldAt.has(node)).length
  }
}

function distance (from: NoticeNode, to: NoticeNode): Milliseconds {
  const region = (node: NoticeNode): number => Number(node.failureDomain.slice(-1)) % 2
  return region(from) === region(to) ? NEAR : FAR
}

function createNotices (count: number, now: Milliseconds): Notice[] {
  return Array.from({ length: count }, (_, index) => ({
    instance: instanceNameSchema.parse(`instance-engine-${index}`),
    address: addressSchema.parse(`10.0.${index >> 8}.${index & 255}:8000`),
    source: 'cloud',
    noticedAt: now,
    deadline: NOTICE
  }))
}
