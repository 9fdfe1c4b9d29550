/** Follows a prefix of the key-value service with a read and a watch. Both are repeated when the watch fails. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { KeyValue, KeyValueChange } from './key-value.js'
import type { Random } from '../random.js'

/** Options of {@link followKeys}. */
export interface FollowOptions {
  readonly keyValue: KeyValue
  readonly prefix: string
  readonly clock: Clock
  readonly random: Random
  readonly signal: AbortSignal
  /** Whether this node should watch now. The other nodes get the changes from the nodes that do. */
  readonly wanted: () => boolean
  /** Reads the current state. Resolves to the revision of the service at the time of the read. */
  readonly load: () => Promise<number>
  /** Handles changes. An empty list means that the watch is alive without a change. */
  readonly changed: (changes: readonly KeyValueChange[]) => void
  /** Handles a failed read or watch, before it is retried. */
  readonly failed: (error: unknown) => void
  /** Defaults to {@link DEFAULT_WATCH_INTERVALS}. A function is called again before each use, for intervals that change. */
  readonly pauses?: WatchIntervals | (() => WatchIntervals)
}

/** Delays and intervals of {@link followKeys}. */
export interface WatchIntervals {
  /** Minimum delay before the first read. The actual delay is random, up to twice as long. */
  readonly startDelay: Milliseconds
  /** Delay after the first of several failures in a row. It doubles with each further failure. */
  readonly initialRetryDelay: Milliseconds
  /** Maximum delay after a failure. */
  readonly maxRetryDelay: Milliseconds
  /** Pause between two messages of a watch, so that changes in quick succession arrive in one message. */
  readonly batchInterval: Milliseconds
  /** Maximum time without a message before a watch is reopened. The client's own default if omitted. */
  readonly idleTimeout?: Milliseconds
  /** Interval at which a node that does not watch checks whether it should. Defaults to {@link ROLE_CHECK_INTERVAL}. */
  readonly roleCheckInterval?: Milliseconds
}

/** Default interval between two checks whether this node should watch. */
const ROLE_CHECK_INTERVAL: Milliseconds = SECOND

/**
 * Default intervals. The start is delayed because a node that has just started knows no other nodes, and would therefore
 * conclude that it should watch.
 */
export const DEFAULT_WATCH_INTERVALS: WatchIntervals = { startDelay: ROLE_CHECK_INTERVAL, initialRetryDelay: SECOND, maxRetryDelay: 8 * SECOND, batchInterval: 0 }

/**
 * Follows a prefix until the signal aborts. Each read is followed by a watch from the next revision, so no change is missed
 * while a watch is interrupted.
 *
 * @example
 * followKeys({ keyValue, prefix, clock, random, signal, wanted: () => true, load, changed, failed })
 */
export async function followKeys (options: FollowOptions): Promise<void> {
  let intervals = intervalsOf(options)
  let retryDelay = intervals.initialRetryDelay
  if (intervals.startDelay > 0) await sleep(options, intervals.startDelay * (1 + options.random.fraction()))
  while (!options.signal.aborted) {
    intervals = intervalsOf(options)
    if (!options.wanted()) {
      await sleep(options, intervals.roleCheckInterval ?? ROLE_CHECK_INTERVAL)
      continue
    }
    try {
      const revision = await options.load()
      retryDelay = intervals.initialRetryDelay
      await followFrom(options, revision + 1)
    } catch (error) {
      if (options.signal.aborted) return
      options.failed(error)
      // Failure guarded against: after an outage of the service, all watching nodes call it at the same instant.
      // The delays grow, and each one is random between half and the whole of its length.
      await sleep(options, retryDelay * (1 + options.random.fraction()) / 2)
      retryDelay = Math.min(intervals.maxRetryDelay, retryDelay * 2)
    }
  }
}

async function followFrom (options: FollowOptions, revision: number): Promise<void> {
  const { idleTimeout } = intervalsOf(options)
  const watchController = new AbortController()
  const signal = AbortSignal.any([options.signal, watchController.signal])
  try {
    for await (const changes of options.keyValue.watch(options.prefix, revision, signal, idleTimeout)) {
      options.changed(changes)
      const current = intervalsOf(options)
      if (!options.wanted() || current.idleTimeout !== idleTimeout) return
      if (current.batchInterval > 0) await sleep(options, current.batchInterval)
    }
  } finally {
    watchController.abort()
  }
}

function intervalsOf ({ pauses = DEFAULT_WATCH_INTERVALS }: FollowOptions): WatchIntervals {
  return typeof pauses === 'function' ? pauses() : pauses
}

function sleep (options: FollowOptions, duration: Milliseconds): Promise<void> {
  return options.clock.sleep(duration, options.signal).catch(() => {})
}
