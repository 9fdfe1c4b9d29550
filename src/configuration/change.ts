/** Validation of a configuration document, with an explanation for settings that the system chooses itself. */
import type * as z from 'zod'
import { ServingError } from '../verdict.js'
import { configurationSchema } from './schema.js'
import type { Configuration, RequestClass } from './schema.js'

/** Words in keys for settings that the system chooses itself, and the reason given to the operator. */
const RESERVED_KEYS: ReadonlyArray<{ words: readonly string[], reason: string }> = [
  {
    words: ['weight', 'weights', 'priority', 'priorities', 'share', 'shares'],
    reason: 'weights are not set: the system derives order and shares from the targets of the classes'
  },
  {
    words: ['address', 'addresses', 'host', 'hosts', 'port', 'url', 'ip', 'endpoint', 'endpoints'],
    reason: 'addresses are not named: the system finds its servers in the platform\'s instance list'
  },
  {
    words: ['instance', 'instances', 'machine', 'machines', 'replica', 'replicas', 'server', 'servers', 'node', 'nodes', 'upstream', 'upstreams', 'zone', 'zones'],
    reason: 'instances are not named or counted: the system chooses them to meet the targets at the lowest cost'
  }
]

/**
 * Validates a document that was parsed from TOML.
 *
 * @throws ServingError `invalid-request` that lists all problems with their paths
 * @example
 * const configuration = checkConfiguration(parseToml(text, 'configuration.toml'))
 */
export function checkConfiguration (document: unknown): Configuration {
  const result = configurationSchema.safeParse(document)
  const problems = result.success ? crossReferenceProblems(result.data) : result.error.issues.flatMap(problemsOf)
  if (result.success && problems.length === 0) return result.data
  throw new ServingError(problems.join('; '), { code: 'invalid-request', verdict: 'not-run' })
}

function problemsOf (issue: z.core.$ZodIssue): string[] {
  const path = issue.path.map(String)
  if (issue.code !== 'unrecognized_keys') return [`${path.join('.') || 'top level'}: ${issue.message}`]
  return issue.keys.map((key) => `${[...path, key].join('.')}: ${reservedKeyReason(key) ?? 'unknown key'}`)
}

function reservedKeyReason (key: string): string | undefined {
  const words = key.toLowerCase().split(/[^a-z]+/)
  return RESERVED_KEYS.find((decision) => words.some((word) => decision.words.includes(word)))?.reason
}

/** Problems that involve several parts of the document, which their schemas cannot detect. */
function crossReferenceProblems (configuration: Configuration): string[] {
  return [
    ...repeatedNames('services', configuration.services),
    ...repeatedNames('organisations', configuration.organisations),
    ...repeatedNames('classes', configuration.classes),
    ...sharedKeys(configuration),
    ...configuration.classes.flatMap((requestClass, index) => classProblems(configuration, requestClass, `classes.${index}`))
  ]
}

function repeatedNames (path: string, items: ReadonlyArray<{ name: string }>): string[] {
  const seen = new Set<string>()
  return items.flatMap((item, index) => {
    if (seen.has(item.name)) return [`${path}.${index}.name: "${item.name}" stands twice`]
    seen.add(item.name)
    return []
  })
}

/** Keys of more than one organisation. A request with such a key could be attributed to the wrong organisation. */
function sharedKeys (configuration: Configuration): string[] {
  const owners = new Map<string, string>()
  return configuration.organisations.flatMap((organisation, index) => organisation.key_sha256.flatMap((key, keyIndex) => {
    const owner = owners.get(key)
    owners.set(key, organisation.name)
    if (owner === undefined) return []
    return [`organisations.${index}.key_sha256.${keyIndex}: the key already belongs to "${owner}"`]
  }))
}

function classProblems (configuration: Configuration, requestClass: RequestClass, path: string): string[] {
  const { target } = requestClass
  const service = configuration.services.find((candidate) => candidate.name === requestClass.service)
  const problems: string[] = []
  if (service === undefined) problems.push(`${path}.service: there is no service "${requestClass.service}"`)
  if (service?.kind === 'plain' && target.first_token_ms !== undefined) problems.push(`${path}.target.first_token_ms: only for services of kind "model"`)
  if (service?.kind === 'plain' && target.between_tokens_ms !== undefined) problems.push(`${path}.target.between_tokens_ms: only for services of kind "model"`)
  if (target.first_token_ms !== undefined && target.first_token_ms > target.whole_answer_ms) {
    problems.push(`${path}.target.first_token_ms: longer than whole_answer_ms`)
  }
  return problems
}
