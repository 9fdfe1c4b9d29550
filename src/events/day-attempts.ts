/** Attempts of requests, from the lines of their beginning and end, and what their lines say of a request before its end. */
import type { Milliseconds } from '../clock.js'
import { MINUTE } from '../clock.js'
import type { LoggedLine } from './line.js'

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly upstream: string
  readonly from: Milliseconds
  readonly to: Milliseconds
}

/** What the lines before the end of a request say. */
export interface OpenRequest {
  /** Beginnings of the attempts that run, by upstream. */
  readonly running: Map<string, Milliseconds>
  /** Upstream of the latest attempt. */
  upstream: string | undefined
  /** Whether a line says that the answer was late. */
  late: boolean
  /** Prompt tokens that a line before the end states. */
  promptTokens: number | undefined
}

/** Follows the attempts of open requests. */
export interface AttemptTracker {
  /** Takes a line, in the order in which its process wrote it. Returns the attempts that it ends. */
  add (line: LoggedLine): readonly EndedAttempt[]
  /** What is known of a request that has not ended. */
  open (process: string, request: string): OpenRequest | undefined
  /** Number of attempts without a line of their end. */
  unended (): number
}

/** Maximum number of open requests that are kept. Those whose line of the end was left out stay until then. */
const MAX_OPEN = 50_000

/** Longest duration of an attempt. No route allows more; a longer one is a jump of the clock, or an id that was used twice. */
const MAX_DURATION: Milliseconds = 10 * MINUTE

/** Outcome in `run-moved` of a run that goes on at another upstream. */
const MOVED = 'moved'

/**
 * Creates a tracker.
 *
 * @example
 * const tracker = createAttemptTracker()
 * for (const { upstream, from, to } of tracker.add(line)) spans.addBetween(from, to, ['busy', upstream])
 */
export function createAttemptTracker (maxOpen: number = MAX_OPEN): AttemptTracker {
  const requests = new Map<string, OpenRequest>()
  let dropped = 0

  function requestOf (key: string): OpenRequest {
    const known = requests.get(key)
    if (known !== undefined) return known
    const [oldest] = requests
    if (oldest !== undefined && requests.size >= maxOpen) remove(oldest[0])
    const created: OpenRequest = { running: new Map(), upstream: undefined, late: false, promptTokens: undefined }
    requests.set(key, created)
    return created
  }

  function remove (key: string): void {
    dropped += requests.get(key)?.running.size ?? 0
    requests.delete(key)
  }

  function begin (key: string, upstream: string, time: Milliseconds): void {
    const request = requestOf(key)
    request.running.set(upstream, time)
    request.upstream = upstream
  }

  function end (key: string, upstream: string, time: Milliseconds): EndedAttempt[] {
    const from = requests.get(key)?.running.get(upstream)
    if (from === undefined) return []
    requests.get(key)!.running.delete(upstream)
    if (time < from || time - from > MAX_DURATION) {
      dropped += 1
      return []
    }
    return [{ upstream, from, to: time }]
  }

  function endAll (key: string, time: Milliseconds): EndedAttempt[] {
    const ended = [...requests.get(key)?.running.keys() ?? []].flatMap((upstream) => end(key, upstream, time))
    requests.delete(key)
    return ended
  }

  return {
    add: ({ time, process, event, facts }) => {
      if (facts.request === undefined) return []
      const key = keyOf(process, String(facts.request))
      const upstream = String(facts.upstream)
      switch (event) {
        case 'request-sent':
          begin(key, upstream, time)
          return []
        case 'answer-late': {
          const request = requestOf(key)
          request.late = true
          if (typeof facts.promptTokens === 'number') request.promptTokens = facts.promptTokens
          return []
        }
        case 'send-not-run':
        case 'attempt-broken':
          return end(key, upstream, time)
        case 'run-moved': {
          if (facts.outcome !== MOVED) return []
          const ended = end(key, upstream, time)
          begin(key, String(facts.target), time)
          return ended
        }
        case 'request-served':
        case 'request-failed':
          return endAll(key, time)
        default:
          return []
      }
    },
    open: (process, request) => requests.get(keyOf(process, request)),
    unended: () => dropped + [...requests.values()].reduce((sum, { running }) => sum + running.size, 0)
  }
}

function keyOf (process: string, request: string): string {
  return `${process} ${request}`
}
