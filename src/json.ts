/** Parsing of JSON text written by other processes, which may run another version of the software. */
import type * as z from 'zod'

/**
 * Parses a JSON text and validates the value against a schema.
 *
 * @returns the value, or undefined if the text is not valid JSON or does not match the schema
 * @example
 * const record = readJson(nodeRecordSchema, entry.value)
 */
export function readJson<T> (schema: z.ZodType<T>, text: string): T | undefined {
  return schema.safeParse(parseJson(text)).data
}

/**
 * Parses a JSON text without throwing.
 *
 * @returns the value, or undefined if the text is not valid JSON
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
