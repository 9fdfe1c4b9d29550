/**
 * Simulates roll-outs in virtual time. The nodes run the real decision code, get few requests each, and receive sums over
 * all nodes that are delayed and sometimes lost. The tried version is good or has given faults. The same seed gives the
 * same history.
 */
import { canaryFraction, createExposureShare, createVersionTest, emptyRouteEvidence, mergeEvidence, nextStatus, emptyEvidence, PROBE_TIME, timeStepOf } from '../../src/rollout/index.js'
import type { RolloutBounds, RolloutOrder, RolloutStage, RolloutStatus, VersionEvidence } from '../../src/rollout/index.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'

/** A simulated route. */
export interface HistoryRoute {
  readonly name: string
  /** Requests per second over all nodes. */
  readonly rate: number
  /** Fraction of the answers that fail with any version. */
  readonly failing: number
  /** Median of the times relative to the expected time. */
  readonly median: number
  /** Spread of the times, as the standard deviation of their logarithms. */
  readonly spread: number
}

/** Faults of the tried version; it is good where there are none. */
export interface VersionFaults {
  /** Fraction of its answers that fail in addition to those that fail with any version. */
  readonly failing?: number
  /** Fraction of its answers that are slow, and the factor by which they are slower. */
  readonly slow?: { readonly part: number, readonly times: number }
  /** Time after the order at which the faults begin. */
  readonly from?: number
  /** The only route with faults. */
  readonly route?: string
}

/** Input of a simulation. Times are in milliseconds from the order. */
export interface HistoryOptions {
  readonly seed: number
  readonly nodes: number
  readonly routes: readonly HistoryRoute[]
  readonly duration: number
  readonly bounds: RolloutBounds
  readonly version: VersionFaults
  /** Longest delay of sums and decisions between nodes. */
  readonly maxDelay?: number
  /** Interval in which no node decides. */
  readonly deciderAbsent?: { readonly from: number, readonly until: number }
  /** Time at which all nodes restart and lose their evidence. */
  readonly killedAt?: number
  /** Interval in which the answers of all versions take several times as long. */
  readonly burst?: { readonly from: number, readonly until: number, readonly times: number }
}

/** Result of a simulation. */
export interface HistoryResult {
  readonly stage: RolloutStage
  /** Time at which the last stage was reached. */
  readonly endedAt: number | undefined
  /** Number of requests in the duration of the order. */
  readonly sent: number
  /** Number of these requests that went to the tried version. */
  readonly exposed: number
  /** Time of the 50th bad answer. */
  readonly fiftiethBadAt: number | undefined
  /** Time of the last request that went to the tried version. */
  readonly lastExposedAt: number
}

const TICK = 20
const EXCHANGE_PERIOD = 400
const MAX_DELAY = 2_000
const GROUPS = 5
const COUNTED_BAD_ANSWERS = 50

/** Number of sums that are kept, enough for the longest delay. */
const KEPT_SUMS = 12

/** Fraction of the messages that are delivered. */
const DELIVERY_FRACTION = 0.65

/** Time that is simulated after the duration of the order. */
const OVERTIME = 12_000

/** Nodes that receive the same sums at the same time. */
interface HistoryGroup {
  readonly test: ReturnType<typeof createVersionTest>
  /** Age of the sums that they receive. */
  readonly lag: number
  stopped: boolean
}

interface HistoryNode {
  readonly share: ReturnType<typeof createExposureShare>
  readonly group: HistoryGroup
  readonly own: { -readonly [Field in keyof VersionEvidence]: VersionEvidence[Field] }
  knownStatus: { readonly status: RolloutStatus, readonly since: number } | undefined
}

/** Simulates one roll-out from its order until {@link OVERTIME} after its duration. */
export function simulateHistory (options: HistoryOptions): HistoryResult {
  const { nodes: count, routes, duration, bounds, version, maxDelay = MAX_DELAY } = options
  const random = createRandom(options.seed)
  const order: RolloutOrder = { service: 's', version: 'v2', duration, revision: 7 }
  const createNodes = (): HistoryNode[] => {
    const groups = Array.from({ length: GROUPS }, (_, index): HistoryGroup => ({ test: createVersionTest(), lag: maxDelay * (index + 1) / GROUPS, stopped: false }))
    return Array.from({ length: count }, (_, index) => ({ share: createExposureShare(bounds, count, random), group: groups[index % GROUPS]!, own: emptyEvidence(order.revision), knownStatus: undefined }))
  }
  let nodes = createNodes()
  let status: RolloutStatus | undefined
  let stageBegan = 0
  let retainedSums: { readonly at: number, readonly sums: VersionEvidence }[] = []
  let endedAt: number | undefined
  let exposed = 0
  let sent = 0
  let badAnswers = 0
  let fiftiethBadAt: number | undefined
  let lastExposedAt = -Infinity

  for (let now = 0; now < duration + OVERTIME; now += TICK) {
    if (options.killedAt !== undefined && now >= options.killedAt && now < options.killedAt + TICK) {
      nodes = createNodes()
      retainedSums = []
    }
    for (const route of routes) {
      for (let remaining = samplePoisson(route.rate * TICK / 1_000, random); remaining > 0; remaining -= 1) request(nodes[random.integer(count)]!, route, now)
    }
    if (now % EXCHANGE_PERIOD === 0) exchange(now)
  }
  return { stage: status?.stage ?? 'canary', endedAt, sent, exposed, fiftiethBadAt, lastExposedAt }

  function request (node: HistoryNode, route: HistoryRoute, now: number): void {
    if (now <= duration) sent += 1
    const side = sideOf(node, now)
    if (side === undefined) return
    node.own.sent += 1
    if (side === 'tried') {
      node.own.exposed += 1
      if (now <= duration) exposed += 1
      lastExposedAt = now
    }
    const isAffected = side === 'tried' && now >= (version.from ?? 0) && (version.route === undefined || version.route === route.name)
    const isSlow = isAffected && version.slow !== undefined && random.fraction() < version.slow.part
    const hasFailed = random.fraction() < route.failing || (isAffected && random.fraction() < (version.failing ?? 0))
    if (isAffected && (isSlow || hasFailed)) {
      badAnswers += 1
      if (badAnswers === COUNTED_BAD_ANSWERS) fiftiethBadAt = now
    }
    const seen = (node.own.routes[route.name] ??= emptyRouteEvidence())[side]
    if (hasFailed) seen.failures += 1
    else {
      const { burst } = options
      const delayFactor = burst !== undefined && now >= burst.from && now < burst.until ? burst.times : 1
      const took = route.median * Math.exp(route.spread * sampleNormal(random)) * (isSlow ? version.slow!.times : 1) * delayFactor
      const step = timeStepOf(took * 1_000, 1_000)
      seen.times[step] = (seen.times[step] ?? 0) + 1
    }
  }

  /** Side of a request. @returns undefined where versions are not compared */
  function sideOf (node: HistoryNode, now: number): 'serving' | 'tried' | undefined {
    if (node.knownStatus === undefined) return undefined
    const { status: { stage, probedPart }, since } = node.knownStatus
    switch (stage) {
      case 'canary':
      case 'probe':
        if (node.group.stopped) return 'serving'
        return node.share.take(stage === 'probe' && now - since < PROBE_TIME ? probedPart! : canaryFraction(bounds)) ? 'tried' : 'serving'
      case 'cutover': return node.group.stopped ? 'serving' : 'tried'
      case 'done': {
        lastExposedAt = now
        return undefined
      }
      case 'rolled-back': return undefined
    }
  }

  /** Latest sums that a group has received. */
  function sumsOf ({ lag }: HistoryGroup, now: number): VersionEvidence {
    return retainedSums.findLast(({ at }) => at <= now - lag)?.sums ?? emptyEvidence(order.revision)
  }

  function exchange (now: number): void {
    retainedSums.push({ at: now, sums: mergeEvidence(nodes.map(({ own }) => ({ s: own }))).s! })
    retainedSums[retainedSums.length - 1] = { at: now, sums: structuredClone(retainedSums.at(-1)!.sums) }
    retainedSums = retainedSums.slice(-KEPT_SUMS)
    for (const group of new Set(nodes.map((node) => node.group))) {
      // The message is lost.
      if (random.fraction() > DELIVERY_FRACTION) continue
      group.test.observe(sumsOf(group, now))
      if (group.test.verdict().kind === 'bad') group.stopped = true
    }
    decide(now)
    for (const node of nodes) if (status !== undefined && random.fraction() < DELIVERY_FRACTION) updateKnownStatus(node, status, now)
  }

  function updateKnownStatus (node: HistoryNode, latestStatus: RolloutStatus, now: number): void {
    if (node.knownStatus?.status !== latestStatus) node.knownStatus = { status: latestStatus, since: now }
  }

  function decide (now: number): void {
    const { deciderAbsent } = options
    if (deciderAbsent !== undefined && now >= deciderAbsent.from && now < deciderAbsent.until) return
    const { group } = nodes[0]!
    const sums = sumsOf(group, now)
    const next = nextStatus(order, status, {
      bounds,
      verdict: group.test.verdict(),
      elapsed: now,
      timeInStage: now - stageBegan,
      tried: 10,
      serving: 10,
      versions: ['v1', 'v2'],
      nodes: count,
      followers: nodes.filter((node) => node.knownStatus?.status.stage === 'cutover' && !node.group.stopped).length,
      runningAtOtherVersions: 0,
      sent: sums.sent,
      exposed: sums.exposed,
      rate: sums.sent / Math.max(1, now / 1_000)
    }, now)
    if (next === undefined) return
    status = next
    stageBegan = now
    if (next.stage === 'done' || next.stage === 'rolled-back') endedAt = now
  }
}

/** Draws from a Poisson distribution, by Knuth's method. */
function samplePoisson (mean: number, random: Random): number {
  let product = random.fraction()
  let number = 0
  for (const least = Math.exp(-mean); product > least; number += 1) product *= random.fraction()
  return number
}

/** Draws from the standard normal distribution, by the Box-Muller transform. */
function sampleNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction())
}
