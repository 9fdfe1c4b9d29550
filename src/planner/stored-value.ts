/** A value in the key-value service that the planner changes by compare-and-swap. */
import type * as z from 'zod'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValue } from '../protocols/key-value.js'
import { ServingError } from '../verdict.js'

/** A stored value. Keeps the revision that was last read or written. */
export interface StoredValue<T> {
  /**
   * Reads the value and keeps its revision.
   *
   * @returns undefined if the value does not exist
   * @throws SyntaxError or ZodError if the value is invalid
   */
  read (signal: AbortSignal): Promise<T | undefined>
  /**
   * Replaces the value that was last read or written.
   *
   * @returns false if another planner has changed the value in the meantime
   * @throws ServingError `too-large` if the value is longer than {@link MAX_VALUE_LENGTH}
   */
  write (value: T, signal: AbortSignal): Promise<boolean>
}

/** Maximum number of characters of a value. The key-value service accepts up to a megabyte. */
export const MAX_VALUE_LENGTH = 900_000

/**
 * Creates access to a stored value.
 *
 * @param key key of the value in the key-value service
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
   * Determines whether a write without a reply took effect.
   *
   * Failure guarded against: the reply to a write is lost after the write took effect, and the planner takes its own
   * value for that of another planner. The value is therefore read back and compared. Only if this read fails as well
   * does the outcome remain unknown. The error of the read is then thrown, so that no order is based on the write.
   */
  async function confirmWrite (text: string, signal: AbortSignal): Promise<boolean> {
    const entry = await keyValue.get(key, signal)
    if (entry?.value !== text) return false
    revision = entry.revision
    return true
  }

  return {
    read,
    write: async (value, signal) => {
      const text = JSON.stringify(value)
      if (text.length > MAX_VALUE_LENGTH) throw new ServingError(`value of ${key} is too large: ${text.length} characters`, { code: 'too-large', verdict: 'not-run' })
      try {
        const result = await keyValue.compareAndSwap(key, revision, text, { signal })
        if (result.kind === 'swapped') revision = result.revision
        return result.kind === 'swapped'
      } catch (error) {
        if (error instanceof ServingError && error.verdict === 'not-run') throw error
        return await confirmWrite(text, signal)
      }
    }
  }
}
