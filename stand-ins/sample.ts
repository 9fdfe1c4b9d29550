/** Loads the sample deployments in `samples/`: configuration, platform, settings, keys and callers' requests. */
import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import * as z from 'zod'
import { classNameSchema, organisationNameSchema } from '../src/identifiers.js'
import type { OrganisationName } from '../src/identifiers.js'
import { plannerSettingsSchema } from '../src/planner/settings.js'
import type { PlannerSettings } from '../src/planner/settings.js'
import { chatMessageSchema, plainCallSchema } from '../src/request/index.js'
import { describeIssue, entrySettingsSchema, loadSettings, readTextFile } from '../src/settings.js'
import type { EntrySettings } from '../src/settings.js'
import { ServingError } from '../src/verdict.js'
import { platformSampleSchema } from './platform-sample.js'
import type { PlatformSample } from './platform-sample.js'

/** A request of a caller: a chat request or a call of a plain service. */
export const sampleRequestSchema = z.union([
  z.strictObject({
    organisation: organisationNameSchema,
    class: classNameSchema,
    max_tokens: z.number().int().positive(),
    messages: z.array(chatMessageSchema).min(1)
  }),
  z.strictObject({
    organisation: organisationNameSchema,
    class: classNameSchema,
    call: z.strictObject({ method: plainCallSchema.shape.method, path: plainCallSchema.shape.path, body: z.unknown().optional() })
  })
])

/** A request of a caller. */
export type SampleRequest = z.infer<typeof sampleRequestSchema>

/** Bearer keys of a sample. */
const keysSchema = z.strictObject({
  operator: z.string().min(8),
  organisations: z.array(z.strictObject({ name: organisationNameSchema, key: z.string().min(8) })).min(1)
})

/** A sample deployment. */
export interface Sample {
  readonly folder: string
  /** Configuration document of the operators, as TOML. */
  readonly configuration: string
  readonly platform: PlatformSample
  readonly entries: readonly EntrySettings[]
  readonly planners: readonly PlannerSettings[]
  readonly operatorKey: string
  readonly organisations: readonly { readonly name: OrganisationName, readonly key: string }[]
  readonly requests: readonly SampleRequest[]
}

const ENTRY_FILE = /^entry-\d+\.toml$/
const PLANNER_FILE = /^planner-\d+\.toml$/
const REQUEST_FILE = /\.jsonl$/

/**
 * Loads a sample from its folder.
 *
 * @throws ServingError `invalid-request`; the message names the file and the problem
 * @example
 * const sample = loadSample('samples/calcaria-lisbon')
 */
export function loadSample (folder: string): Sample {
  const keys = loadSettings(keysSchema, join(folder, 'keys.toml'))
  return {
    folder,
    configuration: readTextFile(join(folder, 'configuration.toml')),
    platform: loadSettings(platformSampleSchema, join(folder, 'platform.toml')),
    entries: matchingFiles(folder, ENTRY_FILE).map((path) => loadSettings(entrySettingsSchema, path)),
    planners: matchingFiles(folder, PLANNER_FILE).map((path) => loadSettings(plannerSettingsSchema, path)),
    operatorKey: keys.operator,
    organisations: keys.organisations,
    requests: matchingFiles(join(folder, 'requests'), REQUEST_FILE).flatMap(loadRequests)
  }
}

/**
 * Loads requests from a file with one JSON document per line.
 *
 * @throws ServingError `invalid-request`; the message names the line
 * @example
 * loadRequests('samples/calcaria-lisbon/requests/bookings.jsonl').length // 40
 */
export function loadRequests (path: string): SampleRequest[] {
  const lines = readTextFile(path).split('\n').filter((line) => line !== '')
  return lines.map((line, index) => parseLine(line, `${path}:${index + 1}`))
}

function parseLine (line: string, origin: string): SampleRequest {
  const result = sampleRequestSchema.safeParse(parseJson(line, origin))
  if (result.success) return result.data
  throw new ServingError(`${origin}: ${result.error.issues.map(describeIssue).join('; ')}`, { code: 'invalid-request', verdict: 'not-run' })
}

function parseJson (text: string, origin: string): unknown {
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new ServingError(`${origin}: ${(cause as Error).message}`, { code: 'invalid-request', verdict: 'not-run', cause })
  }
}

function matchingFiles (folder: string, pattern: RegExp): string[] {
  return readdirSync(folder).filter((name) => pattern.test(name)).sort().map((name) => join(folder, name))
}
