/**
 * What operators set: services, organisations and classes of work with their targets. Targets only;
 * weights, addresses and instances are no part of it and are refused by name.
 */
import * as z from 'zod'
import { classNameSchema, organisationNameSchema, serviceNameSchema } from '../identifiers.js'
import type { ClassName, OrganisationName, ServiceName } from '../identifiers.js'

/** How quickly and how reliably a class must be answered. Durations in milliseconds. */
export const targetSchema = z.strictObject({
  /** Time to the first token; only for services of kind `model`. */
  first_token_ms: z.number().positive().optional(),
  /** Mean time between tokens; only for services of kind `model`. */
  between_tokens_ms: z.number().positive().optional(),
  /** Time to the end of the whole answer. */
  whole_answer_ms: z.number().positive(),
  /** Share of answers that must meet the times above. */
  quantile: z.number().gt(0).lt(1),
  /** Share of requests that must be served: neither refused nor lost. */
  reliability: z.number().gt(0).lt(1)
})
export type Target = z.infer<typeof targetSchema>

/** A kind of work, the service that answers it and its target. */
export const classSchema = z.strictObject({
  name: classNameSchema,
  service: serviceNameSchema,
  /** False for bookings and orders: such a request runs at most once. */
  idempotent: z.boolean(),
  target: targetSchema
})
export type RequestClass = z.infer<typeof classSchema>

/** Servers that are interchangeable: engines of one model, or processes of one plain service. */
export const serviceSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    name: serviceNameSchema,
    model: z.string().min(1),
    adapters: z.array(z.string().min(1)).default([])
  }),
  z.strictObject({
    kind: z.literal('plain'),
    name: serviceNameSchema
  })
])
export type Service = z.infer<typeof serviceSchema>

/** Hex SHA-256 of a bearer key; keys themselves are never stored. */
const keyHashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be the hex SHA-256 of a key')

/** A customer of the deployment. */
export const organisationSchema = z.strictObject({
  name: organisationNameSchema,
  key_sha256: z.array(keyHashSchema).min(1)
})
export type Organisation = z.infer<typeof organisationSchema>

/** Targets of the deployment as a whole. They say what to prefer where class targets leave a choice. */
export const deploymentTargetSchema = z.strictObject({
  /** Money for 1,000 answers within target that should not be exceeded, in the cloud's currency. */
  cost_per_thousand_answers: z.number().positive(),
  /** Tokens computed again after reclaims, per 1,000 tokens generated, that should not be exceeded. */
  recomputed_per_thousand_tokens: z.number().positive()
})
export type DeploymentTarget = z.infer<typeof deploymentTargetSchema>

/** The operators' document, as applied from a file. */
export const configurationSchema = z.strictObject({
  deployment: z.strictObject({ name: z.string().min(1), target: deploymentTargetSchema }),
  services: z.array(serviceSchema).min(1),
  organisations: z.array(organisationSchema).min(1),
  classes: z.array(classSchema).min(1)
})
export type Configuration = z.infer<typeof configurationSchema>

/** A configuration with its place in history, as kept in the key-value service. */
export const configurationRevisionSchema = z.strictObject({
  /** Strictly rising by one. */
  revision: z.number().int().positive(),
  /** Minted by the operator's command, settles an unknown outcome by reading back. */
  changeId: z.string().min(8),
  author: z.string(),
  reason: z.string(),
  /** Wall time of the change, for people. */
  changedAt: z.number(),
  configuration: configurationSchema
})
export type ConfigurationRevision = z.infer<typeof configurationRevisionSchema>

/**
 * @returns the class of that name, or undefined
 * @example
 * findClass(configuration, classNameSchema.parse('booking'))?.idempotent // false
 */
export function findClass (configuration: Configuration, name: ClassName): RequestClass | undefined {
  return configuration.classes.find((candidate) => candidate.name === name)
}

/**
 * @returns the service of that name, or undefined
 * @example
 * findService(configuration, requestClass.service)?.kind // 'model'
 */
export function findService (configuration: Configuration, name: ServiceName): Service | undefined {
  return configuration.services.find((candidate) => candidate.name === name)
}

/**
 * Organisation that a key belongs to.
 *
 * @param keyHash hex SHA-256 of the presented key
 * @param equal constant-time comparison of two hex hashes
 * @returns the organisation's name, or undefined for an unknown key
 * @example
 * findOrganisation(configuration, sha256(key), constantTimeEqual)
 */
export function findOrganisation (configuration: Configuration, keyHash: string, equal: (left: string, right: string) => boolean): OrganisationName | undefined {
  let found: OrganisationName | undefined
  for (const organisation of configuration.organisations) {
    for (const known of organisation.key_sha256) {
      if (equal(known, keyHash)) found = organisation.name
    }
  }
  return found
}
