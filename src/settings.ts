/**
 * Settings of a process: a TOML file, checked before anything starts. They say where the process
 * is and whom it talks to; what operators want of the system is configuration, not settings.
 */
import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import * as z from 'zod'
import { addressSchema, failureDomainSchema, instanceNameSchema } from './identifiers.js'
import { ServingError } from './verdict.js'

const levelSchema = z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])

/** Where the platform's services answer. */
export const platformSettingsSchema = z.strictObject({
  key_value: z.array(addressSchema).min(1),
  instance_list: addressSchema,
  cloud: addressSchema,
  weight_store: addressSchema.optional()
})

/** Limits against hostile or broken callers. */
export const limitSettingsSchema = z.strictObject({
  body_bytes: z.number().int().positive().default(1_048_576),
  header_bytes: z.number().int().positive().default(16_384),
  connections: z.number().int().positive().default(2_000),
  header_timeout_ms: z.number().int().positive().default(5_000),
  request_timeout_ms: z.number().int().positive().default(30_000)
})

/** How long answers to callers stay valid, and how long a planned stop serves on. */
export const addressSettingsSchema = z.strictObject({
  /** Lifetime of an address answer. A planned stop lasts at least this long. */
  lifetime_ms: z.number().int().positive().default(10_000)
})

/** Settings of `hornbeamgap-entry`. */
export const entrySettingsSchema = z.strictObject({
  instance: instanceNameSchema,
  failure_domain: failureDomainSchema,
  /** Address callers and operators connect to. */
  listen: addressSchema,
  /** Address peers connect to. */
  peer_listen: addressSchema,
  log_level: levelSchema.default('info'),
  /** Hex SHA-256 of the operators' bearer key. */
  operator_key_sha256: z.string().regex(/^[0-9a-f]{64}$/),
  /** Shared secret of the system's own processes. */
  peer_key: z.string().min(16),
  /** OTLP/HTTP address of a trace collector; none: spans stay in memory. */
  trace_collector: z.url().optional(),
  platform: platformSettingsSchema,
  limits: limitSettingsSchema.prefault({}),
  addresses: addressSettingsSchema.prefault({})
})
export type EntrySettings = z.infer<typeof entrySettingsSchema>

/**
 * Parses and checks a settings text.
 *
 * @param text TOML
 * @param origin file name for messages
 * @throws ServingError `invalid-request` that names the line or the path of the wrong key
 * @example
 * parseSettings(entrySettingsSchema, text, 'entry.toml')
 */
export function parseSettings<T> (schema: z.ZodType<T>, text: string, origin: string): T {
  const result = schema.safeParse(parseToml(text, origin))
  if (result.success) return result.data
  const problems = result.error.issues.map(describeIssue)
  throw invalid(`${origin}: ${problems.join('; ')}`)
}

/**
 * Reads, parses and checks a settings file.
 *
 * @throws ServingError `invalid-request` when it cannot be read or does not pass the check
 * @example
 * const settings = loadSettings(entrySettingsSchema, 'settings/entry-1.toml')
 */
export function loadSettings<T> (schema: z.ZodType<T>, path: string): T {
  return parseSettings(schema, readText(path), path)
}

/**
 * Reads a text file for a command, with a clear error.
 *
 * @throws ServingError `invalid-request`
 * @example
 * const text = readText('configuration.toml')
 */
export function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (cause) {
    throw invalid(`${path}: cannot be read: ${(cause as Error).message}`)
  }
}

/**
 * Parses TOML with a message that names the line.
 *
 * @throws ServingError `invalid-request`
 * @example
 * parseToml('a = 1', 'settings.toml') // { a: 1 }
 */
export function parseToml (text: string, origin: string): unknown {
  try {
    return parse(text)
  } catch (cause) {
    if (cause instanceof TomlError) throw invalid(`${origin}:${cause.line}:${cause.column}: ${cause.message.split('\n')[0]}`)
    throw cause
  }
}

/**
 * One problem found by a schema, as a person reads it.
 *
 * @example
 * describeIssue(issue) // "limits.body_bytes: expected number, received string"
 */
export function describeIssue (issue: z.core.$ZodIssue): string {
  const path = issue.path.join('.') || 'top level'
  if (issue.code === 'unrecognized_keys') return `${path}: unknown key ${issue.keys.map((key) => `"${key}"`).join(', ')}`
  return `${path}: ${issue.message}`
}

function invalid (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}
