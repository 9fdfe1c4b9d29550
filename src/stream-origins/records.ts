/** Origins of recent streams, as one node holds them. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { evictOldest } from '../evict-oldest.js'
import type { StreamId, StreamOrigin } from './types.js'

/** Records of one node. */
export interface OriginRecords {
  /** The first record of a stream stands. */
  put (stream: StreamId, origin: StreamOrigin, now: Milliseconds): void
  find (stream: StreamId, now: Milliseconds): StreamOrigin | undefined
  size (): number
}

/** A caller resumes within the time that it waits for the whole answer. */
const LIFETIME: Milliseconds = 60 * SECOND

const MAX_RECORDS = 20_000

interface OriginRecord {
  readonly origin: StreamOrigin
  readonly at: Milliseconds
}

/**
 * Creates an empty set of records.
 *
 * @example
 * const records = createOriginRecords()
 * records.put('9c41d07be2a35f68', { service: 'plans', version: 'v2' }, clock.now())
 */
export function createOriginRecords (): OriginRecords {
  const records = new Map<StreamId, OriginRecord>()

  function removeExpired (now: Milliseconds): void {
    for (const [stream, { at }] of records) {
      if (now - at <= LIFETIME) return
      records.delete(stream)
    }
  }

  return {
    put: (stream, origin, now) => {
      removeExpired(now)
      if (records.has(stream)) return
      records.set(stream, { origin, at: now })
      evictOldest(records, MAX_RECORDS)
    },
    find: (stream, now) => {
      const record = records.get(stream)
      return record === undefined || now - record.at > LIFETIME ? undefined : record.origin
    },
    size: () => records.size
  }
}
