/**
 * Load of a day from the lines of single requests: by span of time, and within it by class, organisation, size of the
 * prompt and upstream. Only sums are kept, so logs of any length can be read.
 */
import type { Milliseconds } from '../clock.js'
import { createAttemptTracker } from './day-attempts.js'
import type { OpenRequest } from './day-attempts.js'
import { bucketOf } from './day-buckets.js'
import { summarizeLoad } from './day-load-summary.js'
import type { LoadSummary, OutcomeKind } from './day-load-summary.js'
import { UNKNOWN_BUCKET } from './day-sizes.js'
import { createSpans } from './day-spans.js'
import { createUpstreamDirectory } from './day-upstreams.js'
import type { Facts, LoggedLine } from './line.js'

/** Adds up the load of a day. */
export interface DayLoad {
  /**
   * Takes a line, or undefined for a line that could not be parsed. The lines of one process must come in the order in
   * which it wrote them; those of different processes may be mixed in any way.
   */
  add (line: LoggedLine | undefined): void
  summary (): LoadSummary
}

/** Name for what a line does not state, such as the upstream of a request that was never dispatched. */
const NONE = 'none'

/** Name of a cause that nodes of an older build do not state. */
const UNKNOWN_CAUSE = 'unknown'

/** How a request ended, with the code of a refusal or failure. The code of the other outcomes is empty. */
type Outcome = readonly [kind: OutcomeKind, code: string]

/**
 * Creates empty sums.
 *
 * @param step length of a span; it is doubled where there would be too many spans
 * @example
 * const load = createDayLoad(1_000)
 * for await (const line of lines) load.add(line)
 * load.summary().total.classes
 */
export function createDayLoad (step: Milliseconds): DayLoad {
  const spans = createSpans(step)
  const attempts = createAttemptTracker()
  const directory = createUpstreamDirectory()
  const processes = new Set<string>()
  const leftOut = new Map<string, number>()
  /** Targets of classes by process, so that the result does not depend on the order of the processes' lines. */
  const targets = new Map<string, Milliseconds>()
  const counts = { read: 0, unreadable: 0, ended: 0, summed: 0, withoutLate: 0 }

  function addLine (line: LoggedLine): void {
    const { time, process, facts } = line
    // Events of newer nodes are compared as text, so that this module does not depend on the order of the releases.
    const event: string = line.event
    const open = attempts.open(process, String(facts.request))
    switch (event) {
      case 'request-served':
        addEnd(line, open, servedOutcome(line, open))
        addFirstAnswer(line, open)
        // Its line of the dispatch was left out.
        if (open?.running.has(String(facts.upstream)) !== true) addBusy(upstreamName(facts.upstream), time - Number(facts.after ?? 0), time)
        break
      case 'request-failed':
        addEnd(line, open, failedOutcome(facts))
        break
      case 'answer-late':
        if (typeof facts.target === 'number') targets.set(targetKey(line), facts.target)
        break
      case 'send-not-run':
        spans.at(time).add(['attempts', 'notRun', upstreamName(facts.upstream)], 1)
        break
      case 'attempt-broken':
        spans.at(time).add(['attempts', 'broken', upstreamName(facts.upstream)], 1)
        break
      case 'quota-refused':
        spans.at(time).add(['quotaRefused', String(facts.organisation), String(facts.cause ?? UNKNOWN_CAUSE)], 1)
        break
      case 'request-queued':
        spans.at(time).add(['queued', String(facts.route ?? facts.service ?? NONE)], 1)
        break
      case 'requests-summed':
        for (const name of ['served', 'late', 'refused', 'lost', 'left']) counts.summed += Number(facts[name] ?? 0)
        break
      case 'lines-left-out':
        for (const [name, count] of Object.entries(facts)) if (typeof count === 'number') leftOut.set(name, (leftOut.get(name) ?? 0) + count)
        break
    }
    directory.add(line)
    for (const { upstream, from, to } of attempts.add(line)) addBusy(upstream, from, to)
  }

  function addBusy (upstream: string, from: Milliseconds, to: Milliseconds): void {
    spans.addBetween(from, to, ['busy', upstream])
  }

  function addEnd ({ time, event, facts }: LoggedLine, open: OpenRequest | undefined, outcome: Outcome): void {
    counts.ended += 1
    const counters = spans.at(time)
    const route = String(facts.route ?? NONE)
    const promptTokens = typeof facts.promptTokens === 'number' ? facts.promptTokens : open?.promptTokens
    // Names come last. A map for each of several hundred upstreams in each span would take several times the memory.
    counters.add(['class', ...outcome, route], 1)
    counters.add(['organisation', ...outcome, String(facts.organisation ?? NONE)], 1)
    counters.add(['prompt', route, ...outcome, promptTokens === undefined ? UNKNOWN_BUCKET : bucketOf(promptTokens)], 1)
    counters.add(['upstream', ...outcome, upstreamName(event === 'request-served' ? facts.upstream : open?.upstream)], 1)
  }

  function servedOutcome (line: LoggedLine, open: OpenRequest | undefined): Outcome {
    if (line.facts.failed === true) return ['failed', 'upstream-failed']
    return isLate(line, open) ? ['late', ''] : ['inTime', '']
  }

  /** Nodes of an older build state the target and that an answer is late in `answer-late` only, which may have been left out. */
  function isLate (line: LoggedLine, open: OpenRequest | undefined): boolean {
    const { facts } = line
    if (typeof facts.late === 'boolean') return facts.late
    counts.withoutLate += 1
    return open?.late === true || Number(facts.firstAfter ?? 0) > (targets.get(targetKey(line)) ?? Infinity)
  }

  /** Adds the time from the dispatch to the first answer, or from the arrival if the line of the dispatch was left out. */
  function addFirstAnswer ({ time, facts }: LoggedLine, open: OpenRequest | undefined): void {
    const dispatched = open?.running.get(String(facts.upstream)) ?? time - Number(facts.after)
    const duration = time - Number(facts.after) + Number(facts.firstAfter) - dispatched
    // The answer of a resumed stream began at an earlier upstream.
    if (!(duration >= 0) || facts.failed === true) return
    spans.at(time).add(['firstAnswer', upstreamName(facts.upstream), bucketOf(duration)], 1)
  }

  return {
    add: (line) => {
      counts.read += 1
      if (line === undefined) {
        counts.unreadable += 1
        return
      }
      processes.add(line.process)
      addLine(line)
    },
    summary: () => summarizeLoad(spans, directory.all(), {
      processes: [...processes].sort(),
      lines: counts.read,
      unreadable: counts.unreadable,
      leftOut: Object.fromEntries(leftOut),
      requests: counts.ended,
      requestsSummed: counts.summed,
      withoutLate: counts.withoutLate,
      unendedAttempts: attempts.unended()
    })
  }
}

function targetKey ({ process, facts }: LoggedLine): string {
  return `${process} ${facts.route}`
}

function failedOutcome ({ code, verdict }: Facts): Outcome {
  if (code === 'cancelled') return ['left', '']
  return [verdict === 'not-run' ? 'refused' : 'failed', String(code)]
}

/** Name of an upstream in the sums. Lines state an empty one for requests that were not dispatched. */
function upstreamName (upstream: Facts[string] | undefined): string {
  return upstream === undefined || upstream === '' ? NONE : String(upstream)
}
