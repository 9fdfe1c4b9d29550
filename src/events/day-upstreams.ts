/** Services of upstreams and the time in which they were there, from the lines of all nodes. */
import type { Milliseconds } from '../clock.js'
import type { LoggedLine } from './line.js'

/** An upstream as the lines show it. */
export interface KnownUpstream {
  readonly service: string
  /** Wall time of the first line that names it. */
  readonly from: Milliseconds
  /** Wall time at which its record was gone. Undefined if it was there to the end of the lines. */
  readonly to: Milliseconds | undefined
}

/** Follows which upstreams there are. */
export interface UpstreamDirectory {
  /** Takes a line. Lines of different processes may come in any order. */
  add (line: LoggedLine): void
  all (): ReadonlyMap<string, KnownUpstream>
}

/** Service of an upstream that no line names with its service. */
const UNKNOWN_SERVICE = 'unknown'

interface Sightings {
  service: string
  from: Milliseconds
  last: Milliseconds
  gone: Milliseconds
}

/**
 * Creates an empty directory.
 *
 * @example
 * const directory = createUpstreamDirectory()
 * for (const line of lines) directory.add(line)
 * directory.all().get('i-4')?.service
 */
export function createUpstreamDirectory (): UpstreamDirectory {
  const upstreams = new Map<string, Sightings>()

  function sightingsOf (upstream: string): Sightings {
    const known = upstreams.get(upstream)
    if (known !== undefined) return known
    const created = { service: UNKNOWN_SERVICE, from: Infinity, last: -Infinity, gone: -Infinity }
    upstreams.set(upstream, created)
    return created
  }

  return {
    add: ({ time, event, facts }) => {
      if (typeof facts.upstream !== 'string' || facts.upstream === '') return
      const sightings = sightingsOf(facts.upstream)
      if (typeof facts.service === 'string') sightings.service = facts.service
      sightings.from = Math.min(sightings.from, time)
      if (event === 'upstream-gone') sightings.gone = Math.max(sightings.gone, time)
      // Lines about the end of an attempt may follow the end of the upstream.
      else if (event === 'upstream-new' || event === 'request-sent') sightings.last = Math.max(sightings.last, time)
    },
    all: () => new Map([...upstreams].map(([upstream, { service, from, last, gone }]) => [upstream, { service, from, to: gone > last ? gone : undefined }]))
  }
}
