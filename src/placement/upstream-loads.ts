/** Load of the upstreams by incarnation: exact for the requests of this node, as last reported for those of other nodes. */
import type { Milliseconds } from '../clock.js'
import { addLoads, dateLoad, NO_LOAD, remainingLoad, subtractLoad } from './load.js'
import type { DatedLoad } from './load.js'
import type { InFlight, NodeLoad, UpstreamIncarnation } from './types.js'

/** Handle of a request in flight at an upstream. */
export interface InFlightRequest {
  /** The first answer has arrived, so the engine has finished the prefill of the prompt. Further calls have no effect. */
  answered (now: Milliseconds): void
  /** The request has ended. Further calls have no effect. */
  end (now: Milliseconds): void
}

/** Loads of all upstreams, as one node knows them. */
export interface UpstreamLoads {
  /** Counts a request that is dispatched to an upstream, with the expected time of its prefill. */
  begin (incarnation: UpstreamIncarnation, prefillTime: Milliseconds, now: Milliseconds): InFlightRequest
  /** Requests of this node in flight, by upstream incarnation, with the prefill of all unanswered ones. */
  inFlight (): InFlight
  /** Takes the requests in flight that the other live nodes last reported, by node incarnation. */
  observe (others: ReadonlyMap<string, InFlight>, now: Milliseconds): void
  /** Another node has just dispatched a long prompt. */
  notePrefill (node: string, incarnation: UpstreamIncarnation, prefillTime: Milliseconds, now: Milliseconds): void
  /** Number of requests of this node in flight. */
  own (incarnation: UpstreamIncarnation): number
  /** Load of all nodes together. */
  of (incarnation: UpstreamIncarnation, now: Milliseconds): NodeLoad
}

interface OwnRequest {
  readonly reading: Milliseconds
  readonly since: Milliseconds
  answered: boolean
}

/** Requests of this node at one upstream, in the order of their dispatch. */
interface OwnLoad {
  readonly requests: Set<OwnRequest>
  /** Time of the latest first answer. */
  lastAnswerAt: Milliseconds
}

/** A long prompt dispatched by a node whose load this node receives only as part of a sum over several nodes. */
interface PrefillNote {
  readonly incarnation: UpstreamIncarnation
  readonly load: DatedLoad
  readonly at: Milliseconds
}

interface OwnSum extends NodeLoad {
  /** Prefill of the latest unanswered request. */
  readonly latest: Milliseconds
  /** Time for which the engine may have worked on the prefill. */
  readonly elapsed: Milliseconds
}

/** Time after which a noted prompt is part of the reported sums: two reports and one exchange between aggregators. */
const NOTE_LIFETIME: Milliseconds = 1_200

const NOTHING: ReadonlyMap<UpstreamIncarnation, DatedLoad> = new Map()

/**
 * Creates loads without requests.
 *
 * @example
 * const loads = createUpstreamLoads()
 * const open = loads.begin(upstream.incarnation, 120, clock.now())
 * loads.of(upstream.incarnation, clock.now()) // { requests: 1, reading: 120, unanswered: 1 }
 */
export function createUpstreamLoads (): UpstreamLoads {
  const ownLoads = new Map<UpstreamIncarnation, OwnLoad>()
  const reportedLoads = new Map<string, Map<UpstreamIncarnation, DatedLoad>>()
  const lastReports = new Map<string, InFlight>()
  /** Sums over the reports of all nodes. They are updated at reports, so that a placed request costs the same with any number of nodes. */
  const reportedSums = new Map<UpstreamIncarnation, DatedLoad>()
  let prefillNotes: PrefillNote[] = []

  function ownLoad (incarnation: UpstreamIncarnation, now: Milliseconds): OwnSum | undefined {
    const own = ownLoads.get(incarnation)
    if (own === undefined) return undefined
    let reading = 0
    let unanswered = 0
    let oldest: OwnRequest | undefined
    let latest = 0
    for (const request of own.requests) {
      if (request.answered) continue
      unanswered += 1
      reading += request.reading
      oldest ??= request
      latest = request.reading
    }
    // Answered requests have left the sum, so the engine's progress is at most the prefill of the oldest unanswered one.
    const elapsed = oldest === undefined ? 0 : Math.min(oldest.reading, now - Math.max(oldest.since, own.lastAnswerAt))
    return { requests: own.requests.size, reading, unanswered, latest, elapsed }
  }

  function replaceReport (node: string, loads: ReadonlyMap<UpstreamIncarnation, DatedLoad>): void {
    for (const [incarnation, load] of reportedLoads.get(node) ?? []) {
      const sum = reportedSums.get(incarnation)
      const rest = sum === undefined ? undefined : subtractLoad(sum, load)
      if (rest === undefined) reportedSums.delete(incarnation)
      else reportedSums.set(incarnation, rest)
    }
    for (const [incarnation, load] of loads) reportedSums.set(incarnation, addLoads(reportedSums.get(incarnation), load))
    if (loads.size === 0) reportedLoads.delete(node)
    else reportedLoads.set(node, new Map(loads))
  }

  return {
    begin: (incarnation, prefillTime, now) => {
      const request: OwnRequest = { reading: prefillTime, since: now, answered: false }
      const own = ownLoads.get(incarnation) ?? { requests: new Set(), lastAnswerAt: now }
      own.requests.add(request)
      ownLoads.set(incarnation, own)
      return {
        answered: (answeredAt) => {
          request.answered = true
          own.lastAnswerAt = answeredAt
        },
        end: () => {
          own.requests.delete(request)
          if (own.requests.size === 0 && ownLoads.get(incarnation) === own) ownLoads.delete(incarnation)
        }
      }
    },
    inFlight: () => Object.fromEntries([...ownLoads.keys()].map((incarnation) => {
      const { requests, reading, unanswered } = ownLoad(incarnation, 0) ?? NO_LOAD
      return [incarnation, { requests, reading: Math.round(reading), unanswered }]
    })),
    observe: (others, now) => {
      for (const node of [...reportedLoads.keys(), ...lastReports.keys()]) {
        if (others.has(node)) continue
        replaceReport(node, NOTHING)
        lastReports.delete(node)
      }
      for (const [node, loads] of others) {
        // Prefills of a known report progress with time. Only a new report restarts its time.
        if (lastReports.get(node) === loads) continue
        lastReports.set(node, loads)
        replaceReport(node, new Map(Object.entries(loads).filter(([, { requests }]) => requests > 0).map(([incarnation, load]) => [incarnation as UpstreamIncarnation, dateLoad(load, now)])))
      }
    },
    notePrefill: (node, incarnation, prefillTime, now) => {
      const load = dateLoad({ requests: 1, reading: prefillTime, unanswered: 1 }, now)
      // A node that reports individually includes the prompt in its next report. Otherwise the sums include it later.
      if (!lastReports.has(node) && lastReports.size > 0) {
        prefillNotes = prefillNotes.filter(({ at }) => now - at <= NOTE_LIFETIME)
        prefillNotes.push({ incarnation, load, at: now })
        return
      }
      const loads = new Map(reportedLoads.get(node))
      loads.set(incarnation, addLoads(loads.get(incarnation), load))
      replaceReport(node, loads)
    },
    own: (incarnation) => ownLoads.get(incarnation)?.requests.size ?? 0,
    of: (incarnation, now) => {
      const own = ownLoad(incarnation, now)
      let sum = reportedSums.get(incarnation)
      if (own !== undefined) sum = addLoads(sum, dateLoad(own, now - own.elapsed))
      for (const note of prefillNotes) {
        if (note.incarnation === incarnation && now - note.at <= NOTE_LIFETIME) sum = addLoads(sum, note.load)
      }
      return sum === undefined ? NO_LOAD : remainingLoad(sum, own?.latest ?? 0, now)
    }
  }
}
