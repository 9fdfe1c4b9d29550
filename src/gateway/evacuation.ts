/**
 * Moves runs away from an upstream that is about to be reclaimed.
 *
 * Failure guarded against: a plan outlasts the notice of a reclaim, may not run again and cannot be resumed from its
 * events alone, so its caller would receive a truncated answer. Shortly before the engine is reclaimed, it copies the
 * run's memory to another engine, where the run continues within the same answer. Runs that finish in time by
 * themselves are not moved, since each move has a cost.
 */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import type { EngineCalls, MoveOutcome } from './ports.js'

/** Upstream at which a run continues. */
export interface RunContinuation {
  readonly upstream: UpstreamRecord
  /** Reference to the copy of the run's memory. */
  readonly reference: string
}

/** Location of a run after its stream has ended. */
export type RunLocation =
  | { readonly kind: 'same' }
  | { readonly kind: 'moved', readonly continuation: RunContinuation }
  /** A move was ordered, but the order was not answered. */
  | { readonly kind: 'unknown' }
  /** The run was stopped for a move that was then refused, so that it continues nowhere. */
  | { readonly kind: 'stopped' }

/** A run that would be lost with its upstream. */
export interface WatchedRun {
  /** Returns the location of the run. To be called when the upstream's stream has ended. Waits for a move in progress. */
  location (): Promise<RunLocation>
  /** Stops watching the run, which is over. */
  end (): void
}

/** Runs at upstreams that may leave. */
export interface Evacuation {
  /** Registers a run that begins at an upstream. */
  watch (upstream: UpstreamRecord, request: string, signal: AbortSignal): WatchedRun
  /** Schedules the moves of the runs of an upstream that has given notice. */
  leaving (upstream: UpstreamRecord): void
}

/** Options of {@link createEvacuation}. */
export interface EvacuationOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly calls: EngineCalls
  /** Chooses the upstream at which a run continues; undefined if none is available. */
  readonly chooseTarget: (source: UpstreamRecord, excluded: ReadonlySet<UpstreamIncarnation>) => UpstreamRecord | undefined
  /** Takes one attempt from the service's retry budget; false if the budget is used up. */
  readonly mayMove: (service: string) => boolean
  /** Cancels scheduled moves. */
  readonly signal: AbortSignal
}

interface Run {
  readonly request: string
  readonly signal: AbortSignal
  move: Promise<RunLocation> | undefined
}

/**
 * Time before the upstream's end at which its remaining runs are moved. A notice is read up to 0.8 s after it was
 * written, and the copies of several runs wait for each other, so the moves need this lead time. An earlier start would
 * also move runs that would still have finished by themselves.
 */
const MOVE_LEAD_TIME: Milliseconds = 900

/** Minimum notice of a reclaim, used if the notice does not state its time. */
const DEFAULT_RECLAIM_NOTICE: Milliseconds = 2_000

/** Maximum number of targets that are tried. The memory stays at the source until a target has accepted it. */
const MAX_TARGETS = 2

const NOT_MOVED: RunLocation = { kind: 'same' }

const STOPPED: RunLocation = { kind: 'stopped' }

/**
 * Creates the evacuation of one node.
 *
 * @example
 * const evacuation = createEvacuation({ clock, log, calls, chooseTarget, mayMove, signal })
 * const run = evacuation.watch(upstream, id, signal)
 */
export function createEvacuation (options: EvacuationOptions): Evacuation {
  const { clock, log, calls, signal } = options
  const runs = new Map<UpstreamIncarnation, Set<Run>>()

  async function move (source: UpstreamRecord, run: Run): Promise<RunLocation> {
    const tried = new Set([source.incarnation])
    let location = NOT_MOVED
    while (tried.size <= MAX_TARGETS) {
      const target = options.chooseTarget(source, tried)
      if (target === undefined || !options.mayMove(source.service)) return location
      tried.add(target.incarnation)
      const start = clock.now()
      let outcome: MoveOutcome
      try {
        outcome = await calls.move(source, run.request, target, run.signal)
      } catch (error) {
        log.warn('move-unanswered', { request: run.request, upstream: source.id, target: target.id, error: String(error) })
        return { kind: 'unknown' }
      }
      log.info('run-moved', { request: run.request, upstream: source.id, target: target.id, outcome: outcome.kind === 'refused' ? outcome.reason : outcome.kind, took: Math.round(clock.now() - start) })
      switch (outcome.kind) {
        case 'moved': return { kind: 'moved', continuation: { upstream: target, reference: outcome.reference } }
        case 'no-run': return location
        case 'refused': location = STOPPED
      }
    }
    return location
  }

  async function evacuate (source: UpstreamRecord, leavesIn: Milliseconds): Promise<void> {
    await clock.sleep(Math.max(0, leavesIn - MOVE_LEAD_TIME), signal)
    for (const run of runs.get(source.incarnation) ?? []) run.move ??= move(source, run)
  }

  return {
    watch: (upstream, request, signal) => {
      const upstreamRuns = runs.get(upstream.incarnation) ?? new Set()
      const run: Run = { request, signal, move: undefined }
      upstreamRuns.add(run)
      runs.set(upstream.incarnation, upstreamRuns)
      return {
        location: async () => run.move === undefined ? NOT_MOVED : await run.move,
        end: () => {
          upstreamRuns.delete(run)
          if (upstreamRuns.size === 0 && runs.get(upstream.incarnation) === upstreamRuns) runs.delete(upstream.incarnation)
        }
      }
    },
    leaving: (upstream) => {
      const leavesIn = upstream.leavesIn ?? (upstream.reclaimable ? DEFAULT_RECLAIM_NOTICE : undefined)
      if (leavesIn === undefined) return
      evacuate(upstream, leavesIn).catch((error) => { if (!signal.aborted) log.error('evacuation-failed', { upstream: upstream.id, error: String(error) }) })
    }
  }
}
