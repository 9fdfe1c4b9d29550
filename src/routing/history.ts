/** Configurations that were in force lately. A caller that resumes a stream began it under an earlier one. */
import type { Milliseconds } from '../clock.js'
import type { RouteTable } from './table.js'

/** Route tables of the last time, the present one included. */
export interface RouteHistory {
  /** A table comes into force. */
  put (table: RouteTable, now: Milliseconds): void
  /** Whether requests for this host and path went to one service alone in all of these tables. */
  ledOnlyTo (host: string, path: string, service: string, now: Milliseconds): boolean
  /** Whether the tables reach back for as long as they are kept. */
  isComplete (now: Milliseconds): boolean
}

/** Largest number of tables that are kept. Beyond it, the history is not complete. */
const MAX_TABLES = 8

interface PastTable {
  readonly table: RouteTable
  readonly since: Milliseconds
}

/**
 * Creates an empty history.
 *
 * @param retention time after its replacement for which a table is kept
 * @example
 * const history = createRouteHistory(30 * SECOND)
 * history.put(table, clock.now())
 */
export function createRouteHistory (retention: Milliseconds): RouteHistory {
  let tables: readonly PastTable[] = []

  /** A table counts until the retention time after the next one came into force. */
  function removeExpired (now: Milliseconds): void {
    tables = tables.filter((_, index) => (tables[index + 1]?.since ?? Infinity) >= now - retention)
  }

  return {
    put: (table, now) => {
      removeExpired(now)
      tables = [...tables, { table, since: now }].slice(-MAX_TABLES)
    },
    ledOnlyTo: (host, path, service, now) => {
      removeExpired(now)
      return tables.every(({ table }) => {
        const destinations = table.route(host, path)?.destinations ?? []
        return destinations.length === 1 && destinations[0]!.service === service
      })
    },
    isComplete: (now) => {
      const [oldest] = tables
      return oldest !== undefined && now - oldest.since >= retention
    }
  }
}
