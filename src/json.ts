/** JSON text that another process wrote, possibly of another version. */
import type { z } from 'zod'

/**
 * Reads a value that may be unreadable.
 *
 * @returns undefined when the text is not JSON or does not pass the schema
 * @example
 * const record = readJson(nodeRecordSchema, entry.value)
 */
export function readJson<T> (schema: z.ZodType<T>, text: string): T | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
