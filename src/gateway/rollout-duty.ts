/** Decides the stages of roll-outs while this node holds the duties, and writes them to the store for the operator and all nodes. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { valueOf } from '../named-values.js'
import { repeat } from '../repeat.js'
import { nextStatus } from '../rollout/index.js'
import type { RolloutBounds, RolloutOrder, RolloutSituation, RolloutStatus } from '../rollout/index.js'
import type { DutyHolder } from './duty-holder.js'
import type { Fleet } from './fleet.js'
import type { StoreContext } from './follow.js'
import type { RolloutRegistry } from './ports.js'
import { statusFor } from './rollout-records.js'
import type { KnownStatus, RolloutRecords } from './rollout-records.js'
import type { Rollouts } from './rollouts.js'
import type { UpstreamView } from './upstream-view.js'

/** Options of `startRolloutDuty`. */
export interface RolloutDutyOptions {
  readonly context: StoreContext
  readonly registry: RolloutRegistry
  readonly bounds: RolloutBounds
  readonly records: RolloutRecords
  readonly rollouts: Rollouts
  readonly upstreams: UpstreamView
  readonly fleet: Fleet
  readonly duty: DutyHolder
}

/** Pause between two decisions: nodes report every 400 ms. */
const PERIOD: Milliseconds = 400

/**
 * Starts the periodic decisions. They end with the signal of the context.
 *
 * @example
 * startRolloutDuty({ context, registry, bounds, records, rollouts, upstreams, fleet, duty: holder })
 */
export function startRolloutDuty (options: RolloutDutyOptions): void {
  const { context, registry, records, rollouts, upstreams, fleet, duty } = options
  const { store, clock, log, signal } = context

  function situationOf (order: RolloutOrder, known: KnownStatus): RolloutSituation | undefined {
    const view = rollouts.view(order)
    if (view === undefined) return undefined
    const { evidence, verdict } = view
    const present = upstreams.all().filter(({ service }) => service === order.service)
    const usable = present.filter(({ leaving }) => !leaving)
    const elapsed = fleet.wall() - known.status.orderedAt
    return {
      bounds: options.bounds,
      verdict,
      elapsed,
      timeInStage: clock.now() - known.since,
      tried: usable.filter((upstream) => rollouts.roleOf(upstream) === 'tried').length,
      serving: usable.filter((upstream) => rollouts.roleOf(upstream) === 'serving').length,
      versions: [...new Set(present.map(({ version }) => version))],
      nodes: fleet.knownNodeCount(),
      followers: evidence.followers,
      runningAtOtherVersions: runningBefore(order),
      sent: evidence.sent,
      exposed: evidence.exposed,
      rate: evidence.sent / Math.max(1, elapsed / SECOND)
    }
  }

  /** Requests of all nodes that are in flight at upstreams of other versions than the ordered one. */
  function runningBefore (order: RolloutOrder): number {
    const loadsByNode = [upstreams.inFlight(), ...fleet.loads().values()]
    return upstreams.all()
      .filter((upstream) => upstream.service === order.service && rollouts.roleOf(upstream) !== 'tried')
      .reduce((sum, { incarnation }) => sum + loadsByNode.reduce((requests, loads) => requests + (valueOf(loads, incarnation)?.requests ?? 0), 0), 0)
  }

  async function decide (order: RolloutOrder): Promise<void> {
    const answer = statusFor(records, order)
    const situation = answer && situationOf(order, answer)
    const before = records.status(order.service)
    const next = nextStatus(order, before?.status, situation, fleet.wall()) ?? lostStatus(before)
    const proof = duty.proof()
    if (next === undefined || proof === undefined) return
    const swap = await store.compareAndSwap(registry.statusKey(order.service), records.statusRevision(order.service), registry.writeStatus(next), { signal })
    log.info('rollout-decided', {
      service: order.service,
      version: order.version,
      stage: next.stage,
      verdict: situation?.verdict.kind,
      sent: situation?.sent,
      exposed: situation?.exposed,
      running: situation?.runningAtOtherVersions,
      elapsed: situation === undefined ? undefined : Math.round(situation.elapsed),
      outcome: swap.kind,
      fencing: proof.fencing
    })
  }

  /** The status that has to be written again, since the store lost it when it was restored from a backup. */
  function lostStatus (before: KnownStatus | undefined): RolloutStatus | undefined {
    return before?.isLost === true ? before.status : undefined
  }

  repeat(context, 'rollouts', PERIOD, async () => {
    if (duty.proof() === undefined) return
    for (const order of records.orders()) await decide(order)
  })
}
