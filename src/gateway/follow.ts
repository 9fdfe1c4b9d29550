/** Following of the store: the configuration, the upstreams, the nodes of the system. */
import { followKeys } from '../entry/key-watch.js'
import type { WatchPauses } from '../entry/key-watch.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { KeyValue, KeyValueEntry } from '../protocols/key-value.js'
import type { Random } from '../random.js'

/** What follows a prefix needs. */
export interface FollowContext {
  readonly store: KeyValue
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly signal: AbortSignal
}

/** Takes what stands under a prefix, and its changes. */
export interface Follower {
  /** Everything that stands there now. */
  readonly replace: (entries: readonly KeyValueEntry[]) => void
  readonly put: (entry: KeyValueEntry) => void
  readonly remove: (key: string, revision: number) => void
}

/** How a prefix was last heard of. */
export interface Following {
  /** Time of the last answer of the store for this prefix; undefined before the first. */
  heardAt (): Milliseconds | undefined
}

/** A change must be in force within two seconds; a store that is back is read again within that. */
export const PROMPT_PAUSES: WatchPauses = { start: 0, first: 100, longest: 800, batch: 0 }

/**
 * For nodes, which also tell each other that they are there, so that a watch that has fallen silent for good
 * delays nothing. Each opening is a call that is paid for.
 */
export const TOLD_PAUSES: WatchPauses = { ...PROMPT_PAUSES, silence: 8_000 }

/**
 * @param prefix of the keys
 * @param pauses between calls
 * @example
 * follow(context, 'servers/', { replace, put, remove }, PROMPT_PAUSES)
 */
export function follow (context: FollowContext, prefix: string, follower: Follower, pauses: WatchPauses): Following {
  const { store, clock, random, log, signal } = context
  let heardAt: Milliseconds | undefined
  let failing = false

  function heard (): void {
    heardAt = clock.now()
    if (failing) log.info('store-regained', { prefix })
    failing = false
  }

  followKeys({
    keyValue: store,
    prefix,
    clock,
    random,
    signal,
    wanted: () => true,
    pauses,
    load: async () => {
      const { entries, revision } = await store.list(prefix, signal)
      heard()
      follower.replace(entries)
      return revision
    },
    changed: (changes) => {
      heard()
      for (const change of changes) {
        switch (change.kind) {
          case 'put': follower.put(change.entry); break
          case 'delete': follower.remove(change.key, change.revision)
        }
      }
    },
    failed: (error) => {
      if (!failing) log.warn('store-lost', { prefix, error: String(error), silentFor: heardAt === undefined ? undefined : Math.round(clock.now() - heardAt) })
      failing = true
    }
  }).catch((error) => log.error('following-ended', { prefix, error: String(error) }))
  return { heardAt: () => heardAt }
}
