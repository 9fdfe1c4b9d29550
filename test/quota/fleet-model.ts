/**
 * Model of many nodes that enforce the quota of one organisation: one limiter for each node in one process, reports that
 * arrive 0.8 to 2 s late, manual time, and callers that retry once after a refusal.
 */
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createQuotaLimiter } from '../../src/quota/index.js'
import type { QuotaLimiter, QuotaMargin, ReportedUsage } from '../../src/quota/index.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'
import type { Organisation } from '../../src/routing/index.js'

/** Margin that the operators' settings name. */
export const MARGIN: QuotaMargin = { window: 8 * SECOND, overshoot: 0.1, slack: 140_000 }

/** Time between two steps of the model. */
const STEP: Milliseconds = 20

/** Time between two reports of a node. */
const EXCHANGE_PERIOD: Milliseconds = 400

/** Default of `callerWait`. */
const CALLER_WAIT: Milliseconds = 1 * SECOND

/** An interval of virtual time. */
export interface Interval {
  readonly from: Milliseconds
  readonly until: Milliseconds
}

/** What happens in a run of the model. */
export interface FleetLoad {
  readonly nodes: number
  /** Rate of the organisation; its burst is what the rate gives in one second. */
  readonly rate: number
  readonly seed: number
  readonly length: Milliseconds
  /** Fraction of the rate that callers request at a time, without their retries. */
  readonly loadAt: (now: Milliseconds) => number
  readonly costOf?: (random: Random) => number
  /** Longest time that refused callers wait before they retry, even if their Retry-After is longer. */
  readonly callerWait?: Milliseconds
  /** Age of reports in exchange periods: the smallest, and by how much it may be exceeded. */
  readonly age?: { readonly least: number, readonly spread: number }
  /** Number of nodes that receive no reports and whose reports reach nobody, while their callers still reach them. */
  readonly cutOff?: Interval & { readonly nodes: number }
  /** Number of nodes that are killed at `from`, and start again without their state at `until`. */
  readonly killed?: Interval & { readonly nodes: number }
}

/** One request, or its retry, and what became of it. */
export interface Attempt {
  readonly at: Milliseconds
  readonly cost: number
  readonly isRetry: boolean
  readonly isGranted: boolean
  /** Time that the caller was told to wait; undefined if it was granted. */
  readonly retryAfter: Milliseconds | undefined
}

/** Prompt sizes from 200 to 50,000 tokens, uniform on a logarithmic scale. */
export function hundredfoldCost (random: Random): number {
  return Math.round(200 * 250 ** random.fraction())
}

/** Load of an organisation that rises from 0.55 to 3.4 times its rate for some time. */
export function surgeAt (from: Milliseconds, length: Milliseconds, usual = 0.55, peak = 3.4): (now: Milliseconds) => number {
  return (now) => now >= from && now < from + length ? peak : usual
}

/** The bound on the units that all nodes grant together in any window. */
export function windowBound (rate: number): number {
  return (rate * MARGIN.window / SECOND + rate) * (1 + MARGIN.overshoot) + MARGIN.slack
}

/** Plays a load, and returns each request and retry in the order of time. */
export function playFleet (load: FleetLoad): Attempt[] {
  const { nodes, rate, seed, length, loadAt, cutOff, killed, callerWait = CALLER_WAIT, costOf = hundredfoldCost, age = { least: 2, spread: 3 } } = load
  const random = createRandom(seed)
  const organisation: Organisation = { name: 'tejo', keys: [], priority: undefined, quota: { unit: 'tokens', rate, burst: rate, plainCost: 200 } }
  const limiters: QuotaLimiter[] = Array.from({ length: nodes }, () => createQuotaLimiter(random, MARGIN))
  const reports: ReportedUsage[][] = []
  const receivedIndex = limiters.map(() => limiters.map(() => 0))
  const retries: { at: Milliseconds, cost: number }[][] = []
  const attempts: Attempt[] = []
  const isIn = (interval: Interval | undefined, now: Milliseconds): boolean => interval !== undefined && now >= interval.from && now < interval.until
  const isCutOff = (node: number, now: Milliseconds): boolean => isIn(cutOff, now) && node < cutOff!.nodes
  const isKilled = (node: number, now: Milliseconds): boolean => isIn(killed, now) && node >= nodes - killed!.nodes

  function exchange (now: Milliseconds): void {
    reports.push(limiters.map((limiter) => ({ nodes: 1, demand: limiter.demand(now), granted: limiter.granted(now) })))
    limiters.forEach((limiter, receiver) => {
      if (isKilled(receiver, now)) return
      const received: ReportedUsage[] = []
      for (let sender = 0; sender < nodes; sender += 1) {
        const index = Math.max(receivedIndex[receiver]![sender]!, reports.length - 1 - age.least - random.integer(age.spread + 1))
        receivedIndex[receiver]![sender] = index
        const sentAt = index * EXCHANGE_PERIOD
        const isLost = isCutOff(receiver, now) !== isCutOff(sender, sentAt) || isCutOff(receiver, now) || isKilled(sender, sentAt)
        if (sender !== receiver && index >= 0 && !isLost) received.push(reports[index]![sender]!)
      }
      limiter.observe(mergeUsage(received), nodes, now)
    })
  }

  function request (cost: number, now: Milliseconds, isRetry: boolean): void {
    let node = random.integer(nodes)
    while (isKilled(node, now)) node = random.integer(nodes)
    const decision = limiters[node]!.take(organisation, cost, now)
    const retryAfter = decision.kind === 'over' ? decision.retryAfter : undefined
    attempts.push({ at: now, cost, isRetry, isGranted: decision.kind === 'granted', retryAfter })
    if (isRetry || retryAfter === undefined) return
    const step = Math.ceil((now + Math.min(callerWait, retryAfter)) / STEP)
    const list = retries[step] ?? []
    retries[step] = list
    list.push({ at: now, cost })
  }

  let backlog = 0
  for (let step = 0; step * STEP < length; step += 1) {
    const now = step * STEP
    if (killed !== undefined && now === killed.until) {
      for (let node = nodes - killed.nodes; node < nodes; node += 1) limiters[node] = createQuotaLimiter(random, MARGIN)
    }
    if (now % EXCHANGE_PERIOD === 0) exchange(now)
    for (const { cost } of retries[step] ?? []) request(cost, now, true)
    for (backlog += loadAt(now) * rate * STEP / SECOND; backlog > 0;) {
      const cost = costOf(random)
      backlog -= cost
      request(cost, now, false)
    }
  }
  return attempts
}

/** Most units granted in any window, as a fraction of the bound. */
export function fullestWindow (attempts: readonly Attempt[], rate: number): number {
  const grants = attempts.filter(({ isGranted }) => isGranted)
  let first = 0
  let sum = 0
  let most = 0
  for (const { at, cost } of grants) {
    sum += cost
    while (at - grants[first]!.at >= MARGIN.window) sum -= grants[first++]!.cost
    most = Math.max(most, sum)
  }
  return most / windowBound(rate)
}

/** Units granted in an interval, as a fraction of what the rate gives in it. */
export function grantedShare (attempts: readonly Attempt[], rate: number, { from, until }: Interval): number {
  return sumOfCosts(attempts.filter(({ at, isGranted }) => isGranted && at >= from && at < until)) / (rate * (until - from) / SECOND)
}

/** Fraction of the requests without retries, weighed by cost, that were refused. */
export function refusedShare (attempts: readonly Attempt[], { from, until }: Interval): number {
  const asked = attempts.filter(({ at, isRetry }) => !isRetry && at >= from && at < until)
  return sumOfCosts(asked.filter(({ isGranted }) => !isGranted)) / Math.max(1, sumOfCosts(asked))
}

/** Fraction of the attempts of a size that were granted. */
export function admittedOfSize (attempts: readonly Attempt[], least: number, below: number): number {
  const ofSize = attempts.filter(({ cost }) => cost >= least && cost < below)
  return ofSize.filter(({ isGranted }) => isGranted).length / Math.max(1, ofSize.length)
}

function sumOfCosts (attempts: readonly Attempt[]): number {
  return attempts.reduce((sum, { cost }) => sum + cost, 0)
}

/** Merges reports into one, as aggregators do for their members. */
function mergeUsage (reports: readonly ReportedUsage[]): ReportedUsage[] {
  if (reports.length === 0) return []
  const demand: Record<string, number> = {}
  const granted: Record<string, number> = {}
  for (const report of reports) {
    for (const [name, units] of Object.entries(report.demand)) demand[name] = (demand[name] ?? 0) + units
    for (const [name, units] of Object.entries(report.granted)) granted[name] = (granted[name] ?? 0) + units
  }
  return [{ nodes: reports.length, demand, granted }]
}
