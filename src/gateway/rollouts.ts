/**
 * A node's part in roll-outs: selects the upstreams that a request may go to, collects evidence about the compared
 * versions, and stops using a new version that this node finds bad.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { EventLog } from '../events/index.js'
import { score } from '../membership/rendezvous.js'
import { valueOf } from '../named-values.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import type { Random } from '../random.js'
import { canaryFraction, createExposureShare, createVersionTest, emptyRouteEvidence, mergeEvidence, emptyEvidence, PROBE_TIME, roleOf, timeStepOf } from '../rollout/index.js'
import type { ExposureShare, RolloutBounds, RolloutEvidence, RolloutOrder, RolloutStage, Side, VersionEvidence, VersionRole, VersionTest, VersionVerdict } from '../rollout/index.js'
import { statusFor } from './rollout-records.js'
import type { KnownStatus, RolloutRecords } from './rollout-records.js'

/** Collects the outcome of one attempt as evidence about the upstream's version. */
export interface VersionObservation {
  readonly side: Side
  /** The answer, or its first event, has arrived. */
  answered (took: Milliseconds, expected: Milliseconds): void
  /** The upstream answered with a failure. */
  failed (): void
  /** The answer was interrupted, or the upstream sent nothing for too long. */
  interrupted (): void
}

/** Evidence and verdict about the new version of a service, as this node knows them. */
export interface RolloutView {
  readonly evidence: VersionEvidence
  readonly verdict: VersionVerdict
}

/** Roll-outs as one node takes part in them. */
export interface Rollouts {
  /** Chooses whether the next request of a service tries the new version first. */
  side (service: string): Side
  /** Selects the upstreams that an attempt may be dispatched to now. */
  admit (service: string, side: Side, upstreams: readonly UpstreamRecord[]): readonly UpstreamRecord[]
  /** Whether a run's memory may be moved from one upstream to another. */
  mayMove (source: UpstreamRecord, target: UpstreamRecord): boolean
  /** Starts to observe an attempt. @returns undefined if no versions of the service are compared, or the upstream's version is avoided */
  begin (route: string, upstream: UpstreamRecord): VersionObservation | undefined
  /** This node's evidence, to be reported to the other nodes. */
  told (): RolloutEvidence
  /** Takes the evidence that the other nodes reported. */
  observe (others: readonly RolloutEvidence[]): void
  /** Evidence of all nodes, by service whose versions are compared. */
  sums (): RolloutEvidence
  /** Evidence of all nodes for one order, and the verdict on it. @returns undefined if no versions are compared */
  view (order: RolloutOrder): RolloutView | undefined
  /** Role of the version of an upstream in the roll-out of its service. */
  roleOf (upstream: UpstreamRecord): VersionRole
  /** Whether the version of an upstream carries the traffic of its service. */
  carriesTraffic (upstream: UpstreamRecord): boolean
  /** The order or the status of a service has changed. */
  changed (service: string): void
}

/** Options of `createRollouts`. */
export interface RolloutsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly bounds: RolloutBounds
  readonly records: RolloutRecords
  /** Nodes that may serve. */
  readonly nodes: () => number
  /** Whether the crash of an upstream is explained by what a request asked for. */
  readonly hasOtherCause: (incarnation: UpstreamIncarnation) => boolean
  /** Time at which the operator's orders were last received; undefined before the first time. */
  readonly ordersReceivedAt: () => Milliseconds | undefined
}

/** State of this node for one order. */
interface Trial {
  readonly order: RolloutOrder
  readonly share: ExposureShare
  readonly test: VersionTest
  readonly own: OwnEvidence
  others: readonly RolloutEvidence[]
  /** This node has found the version bad by its own verdict. */
  stopped: boolean
}

/** An interrupted attempt that has not been counted yet. */
interface Interruption {
  readonly upstream: UpstreamIncarnation
  readonly due: Milliseconds
  readonly count: () => void
}

type OwnEvidence = { -readonly [Field in keyof VersionEvidence]: VersionEvidence[Field] }

/**
 * A node with older statuses sends no more requests to the new version. Failure guarded against: the version is rolled
 * back, and a node that reaches neither the store nor another node goes on using it. A working watch is confirmed at
 * least every 3.6 s.
 */
const MAX_STATUS_AGE: Milliseconds = 4 * SECOND

/**
 * Interrupted attempts at one upstream within this time count as one failure, since a crash interrupts all requests that
 * run there.
 */
const CRASH_WINDOW: Milliseconds = SECOND

/**
 * Time until an interruption counts against a version. By then the nodes have found out whether a request caused it that crashes
 * upstreams of any version.
 */
const CAUSE_SETTLING: Milliseconds = 2 * SECOND

/**
 * @example
 * const rollouts = createRollouts({ clock, random, log, bounds, records, nodes: fleet.maxNodeCount, hasOtherCause, ordersReceivedAt })
 * const usable = rollouts.admit('plans', rollouts.side('plans'), upstreams.all())
 */
export function createRollouts (options: RolloutsOptions): Rollouts {
  const { clock, random, log, bounds, records } = options
  const trials = new Map<string, Trial>()
  const versions = createKnownVersions(clock, options.ordersReceivedAt)
  const lastBrokenAt = new Map<UpstreamIncarnation, Milliseconds>()
  let interruptions: readonly Interruption[] = []

  function trialOf (order: RolloutOrder): Trial {
    const known = trials.get(order.service)
    if (known?.order.revision === order.revision) return known
    const trial: Trial = { order, share: createExposureShare(bounds, options.nodes(), random), test: createVersionTest(), own: { ...emptyEvidence(order.revision) }, others: [], stopped: false }
    trials.set(order.service, trial)
    return trial
  }

  /** The trial of a service while its versions are compared. */
  function activeTrial (service: string): { readonly trial: Trial, readonly known: KnownStatus } | undefined {
    const order = records.order(service)
    const known = order && statusFor(records, order)
    if (order === undefined || known === undefined || !isInProgress(known.status.stage)) return undefined
    return { trial: trialOf(order), known }
  }

  function isStatusFresh (): boolean {
    const receivedAt = records.statusReceivedAt()
    return receivedAt !== undefined && clock.now() - receivedAt <= MAX_STATUS_AGE
  }

  /**
   * Failure guarded against: a node starts after a roll-out is done and receives its order before its status. All
   * upstreams have the ordered version, so the node refuses requests until it has read the status, which never comes
   * while the store is unavailable. While an order is new, upstreams of other versions exist as well.
   */
  function isStatusUnknown (): boolean {
    return records.statusReceivedAt() === undefined
  }

  /** Fraction of this node's requests that try the new version now. */
  function triedFraction ({ status, since }: KnownStatus): number {
    const isProbing = status.stage === 'probe' && clock.now() - since < PROBE_TIME
    return isProbing ? status.probedPart ?? canaryFraction(bounds) : canaryFraction(bounds)
  }

  function roleFor (upstream: UpstreamRecord): VersionRole {
    return roleOf(upstream.version, records.order(upstream.service), records.status(upstream.service)?.status)
  }

  function sumsOf (trial: Trial): VersionEvidence {
    const { service, revision } = trial.order
    return valueOf(mergeEvidence([{ [service]: trial.own }, ...trial.others]), service) ?? emptyEvidence(revision)
  }

  /** Counts the interruptions whose time is over, unless something else explains the crashes. */
  function countInterruptions (): void {
    const due = interruptions.filter((interruption) => interruption.due <= clock.now())
    if (due.length === 0) return
    interruptions = interruptions.filter((interruption) => !due.includes(interruption))
    for (const { upstream, count } of due) if (!options.hasOtherCause(upstream)) count()
  }

  /** Updates the verdict with the evidence so far. Logs the first bad one and stops the trial at this node. */
  function judge (trial: Trial): void {
    const evidence = sumsOf(trial)
    trial.test.observe(evidence)
    const verdict = trial.test.verdict()
    if (verdict.kind !== 'bad' || trial.stopped) return
    trial.stopped = true
    log.warn('rollout-stopped', { service: trial.order.service, version: trial.order.version, route: verdict.route, fault: verdict.fault, sent: evidence.sent, exposed: evidence.exposed, order: trial.order.revision })
  }

  return {
    side: (service) => {
      const active = activeTrial(service)
      if (active === undefined || active.known.status.stage === 'cutover' || active.trial.stopped || !isStatusFresh()) return 'serving'
      return active.trial.share.take(triedFraction(active.known)) ? 'tried' : 'serving'
    },
    admit: (service, side, upstreams) => {
      const order = records.order(service)
      const status = records.status(service)?.status
      if (order === undefined && status === undefined) return versions.known(service, upstreams)
      const serving = versions.known(service, upstreams.filter((upstream) => roleFor(upstream) === 'serving'), status?.version)
      if (serving.length === 0 && isStatusUnknown()) return upstreams
      const active = activeTrial(service)
      if (active === undefined || active.trial.stopped) return serving
      const tried = upstreams.filter((upstream) => roleFor(upstream) === 'tried')
      if (active.known.status.stage === 'cutover') return tried.length > 0 ? tried : serving
      return side === 'tried' && tried.length > 0 ? selectTrialUpstreams(tried, active.trial.order, triedFraction(active.known)) : serving
    },
    mayMove: (source, target) => source.version === target.version && roleFor(target) !== 'avoided',
    begin: (route, upstream) => {
      const active = activeTrial(upstream.service)
      const side = roleFor(upstream)
      if (active === undefined || side === 'avoided') return undefined
      const { own } = active.trial
      own.sent += 1
      if (side === 'tried') own.exposed += 1
      if (!Object.hasOwn(own.routes, route)) own.routes = { ...own.routes, [route]: emptyRouteEvidence() }
      const evidence = own.routes[route]![side]
      const failed = (): void => {
        evidence.failures += 1
        if (side === 'tried') judge(active.trial)
      }
      return {
        side,
        answered: (took, expected) => {
          const step = timeStepOf(took, expected)
          evidence.times[step] = (evidence.times[step] ?? 0) + 1
          if (side === 'tried') judge(active.trial)
        },
        failed,
        interrupted: () => {
          const now = clock.now()
          if (now - (lastBrokenAt.get(upstream.incarnation) ?? -Infinity) < CRASH_WINDOW) return
          lastBrokenAt.set(upstream.incarnation, now)
          interruptions = [...interruptions, { upstream: upstream.incarnation, due: now + CAUSE_SETTLING, count: failed }]
        }
      }
    },
    told: () => {
      countInterruptions()
      return Object.fromEntries([...trials.values()].flatMap(({ order, own, stopped }) => {
        const active = activeTrial(order.service)
        if (active === undefined) return []
        const follows = active.known.status.stage === 'cutover' && !stopped
        return [[order.service, { ...own, followers: follows ? 1 : 0 }]]
      }))
    },
    observe: (others) => {
      countInterruptions()
      for (const trial of trials.values()) {
        if (activeTrial(trial.order.service) === undefined) continue
        trial.others = others
        judge(trial)
      }
    },
    sums: () => {
      countInterruptions()
      return Object.fromEntries([...trials.values()].filter(({ order }) => activeTrial(order.service) !== undefined).map((trial) => [trial.order.service, sumsOf(trial)]))
    },
    view: (order) => {
      if (activeTrial(order.service) === undefined) return undefined
      const trial = trialOf(order)
      return { evidence: sumsOf(trial), verdict: trial.test.verdict() }
    },
    roleOf: roleFor,
    carriesTraffic: (upstream) => {
      const isCutOver = activeTrial(upstream.service)?.known.status.stage === 'cutover'
      return roleFor(upstream) === (isCutOver ? 'tried' : 'serving')
    },
    changed: (service) => { if (activeTrial(service) === undefined) trials.delete(service) }
  }
}

function isInProgress (stage: RolloutStage): boolean {
  return stage === 'canary' || stage === 'probe' || stage === 'cutover'
}

/**
 * Selects the upstreams of the new version that get its share of the requests. Failure guarded against: a version fails
 * only under load, and goes undetected since its many upstreams each get a small fraction of their later load. All
 * nodes select the same few upstreams, so that these run under a realistic load.
 */
function selectTrialUpstreams (tried: readonly UpstreamRecord[], order: RolloutOrder, fraction: number): UpstreamRecord[] {
  const count = Math.max(1, Math.round(tried.length * fraction))
  return tried
    .map((upstream) => ({ upstream, weight: score(String(order.revision), upstream.id) }))
    .sort((left, right) => right.weight - left.weight)
    .slice(0, count)
    .map(({ upstream }) => upstream)
}

/** Versions that may serve although no order names them. */
interface KnownVersions {
  /**
   * Selects the upstreams whose version is known to serve.
   *
   * @param settledVersion version that a finished roll-out has put in place, which counts as known
   */
  known (service: string, upstreams: readonly UpstreamRecord[], settledVersion?: string): readonly UpstreamRecord[]
}

/**
 * Failure guarded against: upstreams of an ordered version register, and a node that has not received the order yet uses
 * them like any others. The order is written before they start. A version that is new to this node is therefore not used
 * until the node has received the operator's orders after it first saw the version.
 */
function createKnownVersions (clock: Clock, ordersReceivedAt: () => Milliseconds | undefined): KnownVersions {
  const services = new Map<string, Map<string, Milliseconds>>()

  function isKnown (firstSeenAt: Map<string, Milliseconds>, version: string): boolean {
    const firstSeen = firstSeenAt.get(version)
    if (firstSeen === undefined) firstSeenAt.set(version, clock.now())
    return (firstSeen ?? Infinity) <= (ordersReceivedAt() ?? -Infinity)
  }

  return {
    known: (service, upstreams, settledVersion) => {
      if (upstreams.length === 0) return upstreams
      const firstSeenAt = services.get(service)
      if (firstSeenAt === undefined) {
        // Versions that are present at the first call need no wait: the node has read the orders already.
        services.set(service, new Map(upstreams.map(({ version }) => [version, -Infinity])))
        return upstreams
      }
      const unknown = new Set(upstreams.map(({ version }) => version).filter((version) => version !== settledVersion && !isKnown(firstSeenAt, version)))
      return unknown.size === 0 ? upstreams : upstreams.filter(({ version }) => !unknown.has(version))
    }
  }
}
