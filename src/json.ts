/** Parsing of JSON text written by other processes, which may run another version of the software. */
import * as z from 'zod'

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

/**
 * Schema of a list whose odd items are passed over.
 *
 * Failure guarded against: one odd item makes a whole answer unusable at each read, and the process follows nothing more.
 *
 * @example
 * const answerSchema = z.object({ items: usableItems(itemSchema) })
 */
export function usableItems<Item> (schema: z.ZodType<Item>) {
  return z.array(z.unknown()).transform((items) => items.flatMap((item) => {
    const { success, data } = schema.safeParse(item)
    return success ? [data] : []
  }))
}
