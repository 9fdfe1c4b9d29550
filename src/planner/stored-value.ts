/** A value of the planner in the key-value service, changed by compare-and-swap. */
import type * as z from 'zod'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValue } from '../protocols/key-value.js'
import { ServingError } from '../verdict.js'

/** The value with its revision. */
export interface StoredValue<T> {
  read (signal: AbortSignal): Promise<T | undefined>
  /**
   * Writes in place of what was read last.
   *
   * @returns false when another planner has changed the value meanwhile
   */
  write (value: T, signal: AbortSignal): Promise<boolean>
}

/** Most characters of a value; the service takes a megabyte. */
export const LARGEST_VALUE = 900_000

/**
 * @param key where the value lies
 * @example
 * const desired = createStoredValue(keyValue, DESIRED_STATE_KEY, desiredStateSchema)
 */
export function createStoredValue<T> (keyValue: KeyValue, key: string, schema: z.ZodType<T>): StoredValue<T> {
  let revision = ABSENT

  async function read (signal: AbortSignal): Promise<T | undefined> {
    const entry = await keyValue.get(key, signal)
    revision = entry?.revision ?? ABSENT
    return entry === undefined ? undefined : schema.parse(JSON.parse(entry.value))
  }

  /**
   * Failure guarded against: the reply of a write is lost after the write took effect, and its writer
   * takes its own value for another planner's. The value is read back and compared; only when that
   * fails too is the outcome unknown, and then nothing is done on the strength of it.
   */
  async function settle (text: string, signal: AbortSignal): Promise<boolean> {
    const entry = await keyValue.get(key, signal)
    if (entry?.value !== text) return false
    revision = entry.revision
    return true
  }

  return {
    read,
    write: async (value, signal) => {
      const text = JSON.stringify(value)
      if (text.length > LARGEST_VALUE) throw new ServingError(`${key} has grown to ${text.length} characters`, { code: 'too-large', verdict: 'not-run' })
      try {
        const result = await keyValue.compareAndSwap(key, revision, text, { signal })
        if (result.kind === 'swapped') revision = result.revision
        return result.kind === 'swapped'
      } catch (error) {
        if (error instanceof ServingError && error.verdict === 'not-run') throw error
        return await settle(text, signal)
      }
    }
  }
}
