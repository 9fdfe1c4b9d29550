/**
 * Settings of a process, read from a TOML file and validated before the process starts. Settings state where the
 * process runs and which addresses it connects to. What operators require of the whole system, such as targets and
 * limits, is part of the configuration instead.
 */
import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import * as z from 'zod'
import { addressSchema, failureDomainSchema, instanceNameSchema, listenAddressSchema } from './identifiers.js'
import { ServingError } from './verdict.js'

const logLevelSchema = z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent'])

/** Addresses of the services of the platform. */
export const platformSettingsSchema = z.strictObject({
  key_value: z.array(addressSchema).min(1),
  instance_list: addressSchema,
  cloud: addressSchema,
  weight_store: addressSchema.optional()
})

/** Limits that protect the process from hostile or faulty callers. */
export const limitSettingsSchema = z.strictObject({
  body_bytes: z.number().int().positive().default(1_048_576),
  /** Memory for the bodies of all requests that the process holds, and for those that wait behind others. */
  request_memory_bytes: z.number().int().positive().default(33_554_432),
  header_bytes: z.number().int().positive().default(16_384),
  connections: z.number().int().positive().default(2_000),
  header_timeout_ms: z.number().int().positive().default(5_000),
  request_timeout_ms: z.number().int().positive().default(30_000)
})

/** Validity of the node addresses given to callers. It is also the minimum duration of a planned stop. */
export const addressSettingsSchema = z.strictObject({
  /**
   * Time for which callers may use the addresses that they received. A planned stop serves requests for at least as
   * long, so that no caller uses the address of a node that has ended.
   */
  lifetime_ms: z.number().int().positive().default(10_000)
})

/** Settings of `hornbeamgap-entry`. */
export const entrySettingsSchema = z.strictObject({
  instance: instanceNameSchema,
  failure_domain: failureDomainSchema,
  /** Address that callers and operators connect to. */
  listen: listenAddressSchema,
  /** Address that peer nodes connect to. */
  peer_listen: listenAddressSchema,
  log_level: logLevelSchema.default('info'),
  /** SHA-256 hash of the operators' bearer key, in hexadecimal. */
  operator_key_sha256: z.string().regex(/^[0-9a-f]{64}$/),
  /** Secret that the processes of the system share to authenticate to each other. */
  peer_key: z.string().min(16),
  /** OTLP/HTTP URL of a trace collector. If missing, spans are kept in memory only. */
  trace_collector: z.url().optional(),
  platform: platformSettingsSchema,
  limits: limitSettingsSchema.prefault({}),
  addresses: addressSettingsSchema.prefault({})
})
export type EntrySettings = z.infer<typeof entrySettingsSchema>

/**
 * Parses and validates a settings text.
 *
 * @param text TOML
 * @param fileName shown in error messages
 * @throws ServingError `invalid-request`. Its message states the line, or the path of each invalid key.
 * @example
 * parseSettings(entrySettingsSchema, text, 'entry.toml')
 */
export function parseSettings<T> (schema: z.ZodType<T>, text: string, fileName: string): T {
  const result = schema.safeParse(parseToml(text, fileName))
  if (result.success) return result.data
  const problems = result.error.issues.map(describeIssue)
  throw settingsError(`${fileName}: ${problems.join('; ')}`)
}

/**
 * Reads, parses and validates a settings file.
 *
 * @throws ServingError `invalid-request` if the file cannot be read or is not valid
 * @example
 * const settings = loadSettings(entrySettingsSchema, 'settings/entry-1.toml')
 */
export function loadSettings<T> (schema: z.ZodType<T>, path: string): T {
  return parseSettings(schema, readTextFile(path), path)
}

/**
 * Reads a text file.
 *
 * @throws ServingError `invalid-request` if the file cannot be read. Its message states the path and the cause.
 * @example
 * const text = readTextFile('configuration.toml')
 */
export function readTextFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (cause) {
    throw settingsError(`${path}: cannot be read: ${(cause as Error).message}`)
  }
}

/**
 * Parses a TOML text.
 *
 * @param fileName shown in error messages
 * @throws ServingError `invalid-request`. Its message states the line and column of the syntax error.
 * @example
 * parseToml('a = 1', 'settings.toml') // { a: 1 }
 */
export function parseToml (text: string, fileName: string): unknown {
  try {
    return parse(text)
  } catch (cause) {
    if (cause instanceof TomlError) throw settingsError(`${fileName}:${cause.line}:${cause.column}: ${cause.message.split('\n')[0]}`)
    throw cause
  }
}

/**
 * Formats a validation issue of a schema as a readable text.
 *
 * @example
 * describeIssue(issue) // "limits.body_bytes: expected number, received string"
 */
export function describeIssue (issue: z.core.$ZodIssue): string {
  const path = issue.path.join('.') || 'top level'
  if (issue.code === 'unrecognized_keys') return `${path}: unknown key ${issue.keys.map((key) => `"${key}"`).join(', ')}`
  return `${path}: ${issue.message}`
}

function settingsError (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}
