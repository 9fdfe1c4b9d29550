/** JSON text that another process wrote, possibly of another version. */
import type * as z from 'zod'

/**
 * Reads a value that may be unreadable.
 *
 * @returns undefined when the text is not JSON or does not pass the schema
 * @example
 * const record = readJson(nodeRecordSchema, entry.value)
 */
export function readJson<T> (schema: z.ZodType<T>, text: string): T | undefined {
  return schema.safeParse(parseJson(text)).data
}

/**
 * Parses a text that may be no JSON.
 *
 * @returns undefined when it is none
 * @example
 * parseJson('{') // undefined
 */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
