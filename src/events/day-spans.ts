/** Counters by span of time. The number of spans is bounded, whatever length of time the log lines cover. */
import type { Milliseconds } from '../clock.js'
import { createCounters } from './day-counters.js'
import type { Counters } from './day-counters.js'

/** Counters by span of time. */
export interface Spans {
  /** Counters of the span that contains a time. */
  at (time: Milliseconds): Counters
  /** Adds the milliseconds between two times, to each span those that lie in it. */
  addBetween (from: Milliseconds, to: Milliseconds, path: readonly string[]): void
  /** Length of a span. */
  step (): Milliseconds
  /** Spans with counters, in the order of time. */
  all (): readonly { readonly from: Milliseconds, readonly counters: Counters }[]
}

/** Maximum number of spans. With a hundred upstreams, 455 spans take about 140 MB. */
const MAX_SPANS = 500

/**
 * Creates empty spans. When there are too many of them, their length is doubled.
 *
 * @param firstStep length of a span at the beginning
 * @example
 * const spans = createSpans(1_000)
 * spans.at(line.time).add(['class', 'booking', 'inTime'], 1)
 */
export function createSpans (firstStep: Milliseconds, maxSpans: number = MAX_SPANS): Spans {
  let step = firstStep
  let spans = new Map<number, Counters>()

  function at (time: Milliseconds): Counters {
    const index = Math.floor(time / step)
    const known = spans.get(index)
    if (known !== undefined) return known
    if (spans.size >= maxSpans) {
      widen()
      return at(time)
    }
    const created = createCounters()
    spans.set(index, created)
    return created
  }

  function widen (): void {
    step *= 2
    const wider = new Map<number, Counters>()
    for (const [index, counters] of spans) {
      const target = wider.get(Math.floor(index / 2))
      if (target === undefined) wider.set(Math.floor(index / 2), counters)
      else target.merge(counters)
    }
    spans = wider
  }

  return {
    at,
    addBetween: (from, to, path) => {
      let begin = from
      while (begin < to) {
        const counters = at(begin)
        const end = Math.min(to, (Math.floor(begin / step) + 1) * step)
        counters.add(path, end - begin)
        begin = end
      }
    },
    step: () => step,
    all: () => [...spans].sort(([left], [right]) => left - right).map(([index, counters]) => ({ from: index * step, counters }))
  }
}
